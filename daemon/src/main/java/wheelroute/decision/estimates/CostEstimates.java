package wheelroute.decision.estimates;

/**
 * Corrects the clients' cost estimates of one request class, by comparing earlier estimates with
 * the work that the same requests turned out to be.
 */
public final class CostEstimates {
    /** Weight of the prior that estimates are right, in samples. */
    private static final double PRIOR_SAMPLES = 4;

    private static final double DEFAULT_WORK = 1;

    /** The logarithms of an estimate and of the work that the request turned out to be. */
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
     * Returns the expected work of a request: its estimate, shrunk towards the mean of its class as
     * far as recent estimates were wrong; the mean estimate where it has none.
     */
    public double workFor(double estimate) {
        if (!(estimate > 0)) {
            // An estimate of 0 is ignored too: it would make the price of another zone infinite.
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

    /** Returns the samples for another process; they have no age. */
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
     * Fits the logarithm of the work to that of the estimate. The slope is 1 for estimates that are
     * right up to a factor, and 0 for those that say nothing.
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
