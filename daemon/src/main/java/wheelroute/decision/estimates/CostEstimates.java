package wheelroute.decision.estimates;

/**
 * What the cost estimates of one request class were worth lately: the clients' estimates of a
 * request's work against the work that the same requests turned out to be.
 */
public final class CostEstimates {
    /** Well-estimated requests that estimates are taken to have behind them. */
    private static final double PRIOR_SAMPLES = 4;

    private static final double DEFAULT_WORK = 1;

    /** Pairs of the logarithms of an estimate and of the work that the request turned out to be. */
    private final SampleWindow logPairs;

    private final SampleWindow estimates;
    private double slope = 1;
    private double meanLogEstimate;
    private double scale = 1;

    /** Creates the record of one request class. */
    public CostEstimates(int sampleCount) {
        logPairs = new SampleWindow(sampleCount);
        estimates = new SampleWindow(sampleCount);
    }

    /** Returns the mean estimated work of a request, in seconds on a standard core. */
    public double meanWork() {
        return estimates.meanOfFirst(DEFAULT_WORK);
    }

    /**
     * The expected work of a request: its estimate, drawn to its class's mean as far as estimates
     * lately misled; the mean estimate where it has none.
     */
    public double workFor(double estimate) {
        if (!(estimate > 0)) {
            // An estimate of 0 would make the price of another zone infinite.
            return meanWork();
        }
        estimates.add(0, estimate, 0);
        return slope < 1
                ? scale * Math.exp(slope * (Math.log(estimate) - meanLogEstimate))
                : estimate;
    }

    void record(double estimate, double work) {
        if (estimate > 0) {
            logPairs.add(0, Math.log(estimate), Math.log(work));
            fit();
        }
    }

    /** As {@link SampleWindow#export}; these samples have no age. */
    public double[] export() {
        return logPairs.export(0);
    }

    /** Takes over samples exported by another process. */
    public void restore(double[] samples) {
        logPairs.restore(0, samples);
        if (logPairs.size() > 0) {
            fit();
        }
    }

    /**
     * Fits work against estimate on logarithms: the slope tells how far estimates can be trusted.
     */
    private void fit() {
        double count = logPairs.size();
        meanLogEstimate = logPairs.sumOfFirst() / count;
        double meanLogWork = logPairs.sumOfSecond() / count;
        double covariance = PRIOR_SAMPLES;
        double variance = PRIOR_SAMPLES;
        for (int i = 0; i < count; i++) {
            covariance +=
                    (logPairs.first(i) - meanLogEstimate) * (logPairs.second(i) - meanLogWork);
            variance +=
                    (logPairs.first(i) - meanLogEstimate) * (logPairs.first(i) - meanLogEstimate);
        }
        slope = Math.max(0, Math.min(1, covariance / variance));
        double shrunkSum = 0;
        double plainSum = 0;
        for (int i = 0; i < count; i++) {
            shrunkSum += Math.exp(slope * (logPairs.first(i) - meanLogEstimate));
            plainSum += Math.exp(logPairs.first(i));
        }
        scale = plainSum / shrunkSum;
    }
}
