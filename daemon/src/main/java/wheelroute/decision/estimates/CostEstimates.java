package wheelroute.decision.estimates;

/**
 * Corrects the clients' cost estimates of one request class by comparing earlier estimates with the
 * measured work of the same requests.
 */
public final class CostEstimates {
    /** Weight of the prior assumption that estimates are right, in samples. */
    private static final double PRIOR_SAMPLES = 4;

    private static final double DEFAULT_WORK = 1;

    /** The logarithms of the estimate and of the measured work of each request. */
    private final SampleWindow logPairs;

    private final SampleWindow estimates;
    private double slope = 1;
    private double meanLogEstimate;
    private double scale = 1;

    /** Creates the corrections of one request class, which use this many recent samples. */
    public CostEstimates(int sampleCount) {
        logPairs = new SampleWindow(sampleCount);
        estimates = new SampleWindow(sampleCount);
    }

    /** Returns the mean estimated work of a request, in seconds on a standard core. */
    public double meanWork() {
        return estimates.meanOfFirst(DEFAULT_WORK);
    }

    /**
     * Records the cost estimate of a request and returns the expected work. The expected work is
     * the estimate, shrunk towards the mean of the request class as far as recent estimates were
     * wrong, or the mean estimate if the request has none.
     */
    public double workFor(double estimate) {
        if (!(estimate > 0)) {
            // An estimate of 0 is ignored as well, because the cost of an attempt in another zone
            // is divided by the work and would be infinite.
            return meanWork();
        }
        estimates.add(0, estimate);
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

    /** Returns the samples for another process, all with an age of 0 because they do not decay. */
    public double[] export() {
        return logPairs.export(0);
    }

    /** Adds samples that another process has exported. */
    public void restore(double[] samples) {
        logPairs.restore(0, samples);
        if (logPairs.size() > 0) {
            fit();
        }
    }

    /**
     * Fits the logarithm of the measured work to that of the estimate. The slope is 1 for estimates
     * that are right up to a constant factor, and 0 for estimates that carry no information.
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
