package wheelroute.decision;

/**
 * How much longer a job runs where what its key needs is not kept: measured apart for a key's first
 * home, its second and so on, and for all other workers. Where keys mean nothing it comes out as
 * nothing.
 */
final class CacheMissCost {
    private static final int SAMPLE_COUNT = 64;

    /**
     * Elsewhere a fetch is taken to be this part of a mean job until so many runs have shown what
     * it is.
     */
    private static final double PRIOR_COST = 0.25;

    private static final double PRIOR_RUNS = 2;

    /** A fetch takes as long whatever the job: short ones show it best, but none counts for all. */
    private static final double MIN_WORK_FRACTION = 0.125;

    /** The excess of runs and 1, both weighted. */
    private final SampleWindow[] excess = new SampleWindow[KeyAffinity.PREFERRED_COUNT + 1];

    private final double[] expected = new double[excess.length];
    private double meanWork = 1;

    CacheMissCost() {
        for (int i = 0; i < excess.length; i++) {
            excess[i] = new SampleWindow(SAMPLE_COUNT);
        }
    }

    void record(double now, int rank, double work, double excessSeconds) {
        double weightedWork = Math.max(work, MIN_WORK_FRACTION * meanWork);
        excess[rank].add(
                now,
                excessSeconds / (weightedWork * weightedWork),
                1 / (weightedWork * weightedWork));
    }

    /** Works out the means, for the choice that follows. */
    void update(double newMeanWork) {
        meanWork = newMeanWork;
        double prior = PRIOR_RUNS / (meanWork * meanWork);
        for (int i = expected.length - 1; i >= 0; i--) {
            double guess = PRIOR_COST * meanWork * i / KeyAffinity.PREFERRED_COUNT;
            expected[i] =
                    Math.max(
                            0,
                            (guess * prior + excess[i].sumOfFirst())
                                    / (prior + excess[i].sumOfSecond()));
            // What is kept at a later home is kept at an earlier one: else a first guess could last
            // for ever.
            expected[i] =
                    i == KeyAffinity.PREFERRED_COUNT
                            ? expected[i]
                            : Math.min(expected[i], expected[i + 1]);
        }
    }

    /** Seconds by which a run there is expected to take longer. */
    double expectedSeconds(int rank) {
        return rank == KeyAffinity.CACHED ? 0 : expected[rank];
    }

    /** The part of the runs there that fetch. */
    double missProbability(int rank) {
        double time = expectedSeconds(rank);
        return time == 0 ? 0 : time / Math.max(time, expected[KeyAffinity.PREFERRED_COUNT]);
    }
}
