package wheelroute.decision.estimates;

import wheelroute.decision.routing.KeyAffinity;

/**
 * Estimates how much longer a job runs at a worker that does not cache the data of its key. The
 * additional time is measured separately for each rank of a key's preferred workers, and for all
 * other workers together. The estimate converges to 0 if run times do not depend on the key.
 */
public final class CacheMissCost {
    private static final int SAMPLE_COUNT = 64;

    /** Assumed cost of a miss until enough runs are measured, as a fraction of a mean job. */
    private static final double PRIOR_COST_FRACTION = 0.25;

    private static final double PRIOR_RUNS = 2;

    /**
     * Minimum work that is used to weight a run, as a fraction of the mean work. Shorter jobs weigh
     * more, because a miss takes the same time for any job and is easiest to see in short ones.
     */
    private static final double MIN_WORK_FRACTION = 0.125;

    /**
     * Samples for each rank: the excess run time in seconds and 1, both weighted by the inverse
     * square of the work of the run.
     */
    private final SampleWindow[] excess = new SampleWindow[KeyAffinity.PREFERRED_COUNT + 1];

    private final double[] expectedSeconds = new double[excess.length];
    private double meanWork = 1;

    /** Creates estimates without samples; all costs are 0 until the first {@link #update}. */
    public CacheMissCost() {
        for (int i = 0; i < excess.length; i++) {
            excess[i] = new SampleWindow(SAMPLE_COUNT);
        }
    }

    /**
     * Records a run at a worker where a miss was expected.
     *
     * @param rank the rank of a preferred worker from 0, or {@link KeyAffinity#PREFERRED_COUNT} for
     *     any other worker
     * @param work the expected work, in seconds on a standard core
     * @param excessSeconds the run time that the work does not explain
     */
    public void record(double now, int rank, double work, double excessSeconds) {
        double weightedWork = Math.max(work, MIN_WORK_FRACTION * meanWork);
        excess[rank].add(
                now,
                excessSeconds / (weightedWork * weightedWork),
                1 / (weightedWork * weightedWork));
    }

    /** Computes the expected costs, which stay the same until the next choice of a worker. */
    public void update(double newMeanWork) {
        meanWork = newMeanWork;
        double prior = PRIOR_RUNS / (meanWork * meanWork);
        // Workers of a lower rank cache the data at least as often as those of a higher rank, which
        // bounds their cost. Without the bound a prior that is too high might never be corrected,
        // because the workers that it applies to would get no requests.
        double bound = Double.POSITIVE_INFINITY;
        for (int rank = KeyAffinity.PREFERRED_COUNT; rank >= 0; rank--) {
            double priorSeconds =
                    PRIOR_COST_FRACTION * meanWork * rank / KeyAffinity.PREFERRED_COUNT;
            double mean =
                    (priorSeconds * prior + excess[rank].sumOfFirst())
                            / (prior + excess[rank].sumOfSecond());
            bound = Math.min(Math.max(0, mean), bound);
            expectedSeconds[rank] = bound;
        }
    }

    /** Returns the expected additional run time at a worker of this rank, in seconds. */
    public double expectedSeconds(int rank) {
        return rank == KeyAffinity.CACHED ? 0 : expectedSeconds[rank];
    }

    /** Returns the expected fraction of the runs at a worker of this rank that miss the cache. */
    public double missProbability(int rank) {
        double seconds = expectedSeconds(rank);
        return seconds == 0
                ? 0
                : seconds / Math.max(seconds, expectedSeconds[KeyAffinity.PREFERRED_COUNT]);
    }
}
