package wheelroute.decision.estimates;

import wheelroute.decision.routing.KeyAffinity;

/**
 * How much longer a job runs where what its key needs is not cached: measured apart for each rank
 * of a key's preferred workers, and for all other workers. Where keys mean nothing the cost comes
 * out as 0.
 */
public final class CacheMissCost {
    private static final int SAMPLE_COUNT = 64;

    /** A fetch is taken to cost this part of a mean job until enough runs have shown its cost. */
    private static final double PRIOR_COST = 0.25;

    private static final double PRIOR_RUNS = 2;

    /** A fetch does not depend on the job: short jobs show it best, but none may outweigh all. */
    private static final double MIN_WORK_FRACTION = 0.125;

    /** Pairs of a run's excess and 1, both weighted by the inverse square of its work. */
    private final SampleWindow[] excess = new SampleWindow[KeyAffinity.PREFERRED_COUNT + 1];

    private final double[] expected = new double[excess.length];
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

    /** Works out the means, for the choice that follows. */
    public void update(double newMeanWork) {
        meanWork = newMeanWork;
        double prior = PRIOR_RUNS / (meanWork * meanWork);
        for (int i = expected.length - 1; i >= 0; i--) {
            double guess = PRIOR_COST * meanWork * i / KeyAffinity.PREFERRED_COUNT;
            expected[i] =
                    Math.max(
                            0,
                            (guess * prior + excess[i].sumOfFirst())
                                    / (prior + excess[i].sumOfSecond()));
            // What is cached at a later rank is cached at an earlier one; else a first guess could
            // last for ever.
            expected[i] =
                    i == KeyAffinity.PREFERRED_COUNT
                            ? expected[i]
                            : Math.min(expected[i], expected[i + 1]);
        }
    }

    /** Seconds by which a run at a worker of this rank is expected to take longer. */
    public double expectedSeconds(int rank) {
        return rank == KeyAffinity.CACHED ? 0 : expected[rank];
    }

    /** The part of the runs at a worker of this rank that are expected to fetch. */
    public double missProbability(int rank) {
        double time = expectedSeconds(rank);
        return time == 0 ? 0 : time / Math.max(time, expected[KeyAffinity.PREFERRED_COUNT]);
    }
}
