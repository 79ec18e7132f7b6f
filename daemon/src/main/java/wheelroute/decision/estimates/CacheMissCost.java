package wheelroute.decision.estimates;

import wheelroute.decision.routing.KeyAffinity;

/**
 * How much longer a job runs where the data of its key is not cached: measured separately for each
 * rank of a key's preferred workers, and for all other workers. It is learned to be 0 where the
 * runs do not depend on the key.
 */
public final class CacheMissCost {
    private static final int SAMPLE_COUNT = 64;

    /** Until enough runs are measured, a miss is assumed to cost this part of a mean job. */
    private static final double PRIOR_COST = 0.25;

    private static final double PRIOR_RUNS = 2;

    /**
     * Short jobs weigh more, as a miss takes the same time for any job and shows best in them;
     * below this part of the mean work the weight grows no further.
     */
    private static final double MIN_WORK_FRACTION = 0.125;

    /**
     * For each rank, the excess of each run and 1, both weighted by the inverse square of its work.
     */
    private final SampleWindow[] excess = new SampleWindow[KeyAffinity.PREFERRED_COUNT + 1];

    private final double[] expectedSeconds = new double[excess.length];
    private double meanWork = 1;

    /** Creates estimates without any measured run. */
    public CacheMissCost() {
        for (int i = 0; i < excess.length; i++) {
            excess[i] = new SampleWindow(SAMPLE_COUNT);
        }
    }

    /**
     * Records a run at a worker where a miss was expected.
     *
     * @param rank below {@link KeyAffinity#PREFERRED_COUNT} for a preferred worker, or that number
     * @param excessSeconds how much longer it ran than its work explains
     */
    public void record(double now, int rank, double work, double excessSeconds) {
        double weightedWork = Math.max(work, MIN_WORK_FRACTION * meanWork);
        excess[rank].add(
                now,
                excessSeconds / (weightedWork * weightedWork),
                1 / (weightedWork * weightedWork));
    }

    /** Computes the expected costs, which then stay the same until the next choice of a worker. */
    public void update(double newMeanWork) {
        meanWork = newMeanWork;
        double prior = PRIOR_RUNS / (meanWork * meanWork);
        // Workers of a lower rank have the data at least as often. Without this bound a prior that
        // is
        // too high might never be corrected, as its workers would get no requests.
        double bound = Double.POSITIVE_INFINITY;
        for (int rank = KeyAffinity.PREFERRED_COUNT; rank >= 0; rank--) {
            double priorSeconds = PRIOR_COST * meanWork * rank / KeyAffinity.PREFERRED_COUNT;
            double mean =
                    (priorSeconds * prior + excess[rank].sumOfFirst())
                            / (prior + excess[rank].sumOfSecond());
            bound = Math.min(Math.max(0, mean), bound);
            expectedSeconds[rank] = bound;
        }
    }

    /** Returns the seconds by which a run at a worker of this rank is expected to take longer. */
    public double expectedSeconds(int rank) {
        return rank == KeyAffinity.CACHED ? 0 : expectedSeconds[rank];
    }

    /** Returns the expected part of the runs at a worker of this rank that miss the cache. */
    public double missProbability(int rank) {
        double seconds = expectedSeconds(rank);
        return seconds == 0
                ? 0
                : seconds / Math.max(seconds, expectedSeconds[KeyAffinity.PREFERRED_COUNT]);
    }
}
