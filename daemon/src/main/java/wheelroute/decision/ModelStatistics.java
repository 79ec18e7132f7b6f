package wheelroute.decision;

/**
 * What was measured of all workers of one model: their speed, their slots, and how long attempts
 * wait there. Times are in seconds.
 */
final class ModelStatistics {
    private static final double STANDARD_SPEED = 1;

    /** The work rate is measured over this long: at one result a second, less would be chance. */
    private static final double RATE_PERIOD = 20;

    private static final int MIN_RATE_SAMPLES = 3;
    private static final int SAMPLE_COUNT = 64;

    final SampleWindow runs;

    /**
     * Pairs of how long an attempt waited for its start, and how much of it this dispatcher's own
     * attempts do not explain.
     */
    final SampleWindow waits;

    /** Work times slots that warm workers completed, divided by the number of warm workers. */
    private final SampleWindow completedWork;

    private double rateComputedAt = Double.NaN;
    private double rate;

    /** Workers that were ready and warm at the last change of the endpoint list. */
    int warmWorkers;

    int slots;
    double speed = STANDARD_SPEED;

    /** Mean unexplained wait, over the usual memory and over a short one. */
    double externalWait;

    double recentExternalWait;

    /** By how much, summed over attempts that have not started, they have waited past the mean. */
    double overdueWait;

    /** Waits guessed from results are as noisy as the sizes of jobs and need a heavier prior. */
    private final double priorWeight;

    ModelStatistics(SampleWindow runs, SampleWindow waits, double priorWeight) {
        this.runs = runs;
        this.waits = waits;
        this.priorWeight = priorWeight;
        this.completedWork = new SampleWindow(SAMPLE_COUNT);
    }

    LearnedState.ModelSamples export(double now) {
        return new LearnedState.ModelSamples(slots, runs.export(now), waits.export(now));
    }

    /**
     * Takes over exported samples; waits only where starts are told, as else they are not its own.
     */
    void restore(double now, LearnedState.ModelSamples samples, boolean withWaits) {
        slots = samples.slots();
        runs.restore(now, samples.runs());
        refitSpeed();
        if (withWaits) {
            waits.restore(now, samples.waits());
        }
    }

    void refitSpeed() {
        speed = runs.size() > 0 ? runs.sumOfFirst() / runs.sumOfSecond() : speed;
    }

    /** A warm worker completed this much work times slots. */
    void recordCompletedWork(double now, double work) {
        completedWork.add(now, work / warmWorkers, 0);
    }

    /**
     * Work a second that one of its warm workers does for this dispatcher, as a mean over {@link
     * #RATE_PERIOD}; 0 before enough results.
     *
     * @param earliest nothing was measured before then
     */
    double workRatePerWorker(double now, double earliest) {
        if (now != rateComputedAt) {
            rateComputedAt = now;
            double from =
                    Math.max(
                            Math.max(earliest, now - RATE_PERIOD),
                            completedWork.completeSince(earliest));
            rate =
                    completedWork.countSince(from) < MIN_RATE_SAMPLES
                            ? 0
                            : completedWork.sumOfFirstSince(from) / Math.max(now - from, 1);
        }
        return rate;
    }

    /**
     * Works out the mean waits. Without attempts no new wait is seen, so old ones fade: requests
     * must not be rejected for them.
     */
    void updateWaits(double now, double memory, double recentMemory) {
        externalWait = waits.decayedSecond(now, memory, priorWeight, overdueWait);
        recentExternalWait = waits.decayedSecond(now, recentMemory, priorWeight, overdueWait);
    }
}
