package wheelroute.decision;

/**
 * How much longer a job runs where what its key needs is not kept: measured apart for a key's first
 * home, its second and so on, and for all other workers. Where keys mean nothing it comes out as
 * nothing.
 */
final class Fetches {
    private static final int KEPT = 64;

    /**
     * Elsewhere a fetch is taken to be this part of a mean job until so many runs have shown what
     * it is.
     */
    private static final double PRIOR = 0.25;

    private static final double PRIOR_RUNS = 2;

    /** A fetch takes as long whatever the job: short ones show it best, but none counts for all. */
    private static final double SHORTEST = 0.125;

    /** The excess of runs and 1, both weighted. */
    private final Samples[] excess = new Samples[Homes.RANKED + 1];

    private final double[] times = new double[excess.length];
    private double meanWork = 1;

    Fetches() {
        for (int i = 0; i < excess.length; i++) {
            excess[i] = new Samples(KEPT);
        }
    }

    void learn(double now, int home, double work, double longer) {
        double least = Math.max(work, SHORTEST * meanWork);
        excess[home].add(now, longer / (least * least), 1 / (least * least));
    }

    /** Works out the means, for the choice that follows. */
    void figure(double newMeanWork) {
        meanWork = newMeanWork;
        double prior = PRIOR_RUNS / (meanWork * meanWork);
        for (int i = times.length - 1; i >= 0; i--) {
            double guess = PRIOR * meanWork * i / Homes.RANKED;
            times[i] =
                    Math.max(
                            0,
                            (guess * prior + excess[i].sumOfFirst())
                                    / (prior + excess[i].sumOfSecond()));
            // What is kept at a later home is kept at an earlier one: else a first guess could last
            // for ever.
            times[i] = i == Homes.RANKED ? times[i] : Math.min(times[i], times[i + 1]);
        }
    }

    /** Seconds by which a run there is expected to take longer. */
    double time(int home) {
        return home == Homes.KEPT_HERE ? 0 : times[home];
    }

    /** The part of the runs there that fetch. */
    double part(int home) {
        double time = time(home);
        return time == 0 ? 0 : time / Math.max(time, times[Homes.RANKED]);
    }
}
