package wheelroute.decision;

/**
 * What one offering's hints were worth lately, against the work that the same jobs turned out to
 * be.
 */
final class Hints {
    /** Well-hinted jobs that hints are taken to have behind them. */
    private static final double PRIOR = 4;

    private static final double STANDARD = 1;

    /** Logarithms of hints, and of the work that the same jobs turned out to be. */
    private final Samples told;

    private final Samples hints;
    private double slope = 1;
    private double middle;
    private double scale = 1;

    Hints(int most) {
        told = new Samples(most);
        hints = new Samples(most);
    }

    double mean() {
        return hints.meanOfFirst(STANDARD);
    }

    /**
     * The hint, drawn to its offering's middle as far as hints lately misled; their mean if none.
     */
    double workOf(double hint) {
        if (!(hint > 0)) {
            // Also against a hint of nothing, by which a crossing's price would have no end.
            return mean();
        }
        hints.add(0, hint, 0);
        return slope < 1 ? scale * Math.exp(slope * (Math.log(hint) - middle)) : hint;
    }

    void learn(double hint, double work) {
        if (hint > 0) {
            told.add(0, Math.log(hint), Math.log(work));
            fit();
        }
    }

    /** As {@link Samples#told}; samples of hints have no age. */
    double[] told() {
        return told.told(0);
    }

    void take(double[] samples) {
        told.take(0, samples);
        if (told.size() > 0) {
            fit();
        }
    }

    /**
     * Guards against rough hints taken at their word: work's slope on hint tells how far to trust.
     */
    private void fit() {
        double n = told.size();
        middle = told.sumOfFirst() / n;
        double meanWork = told.sumOfSecond() / n;
        double both = PRIOR;
        double own = PRIOR;
        for (int i = 0; i < n; i++) {
            both += (told.first(i) - middle) * (told.second(i) - meanWork);
            own += (told.first(i) - middle) * (told.first(i) - middle);
        }
        slope = Math.max(0, Math.min(1, both / own));
        double drawn = 0;
        double plain = 0;
        for (int i = 0; i < n; i++) {
            drawn += Math.exp(slope * (told.first(i) - middle));
            plain += Math.exp(told.first(i));
        }
        scale = plain / drawn;
    }
}
