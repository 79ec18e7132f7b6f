package wheelroute.decision;

/**
 * What was measured of all workers of one model: a new one's speed, and how many jobs one runs at a
 * time.
 */
final class ModelStatistics {
    private static final double STANDARD_SPEED = 1;

    /** What its workers carry is read off so long: at one answer a second fewer would be chance. */
    private static final double RATE_PERIOD = 20;

    private static final int MIN_RATE_SAMPLES = 3;
    private static final int SAMPLE_COUNT = 64;

    final SampleWindow runs;

    /** How long launches lately waited to start, and how much of it ours do not explain. */
    final SampleWindow waits;

    /** Work answered by warm workers, over all its slots, in parts of a worker. */
    private final SampleWindow completedWork;

    private double rateComputedAt = Double.NaN;
    private double rate;

    /**
     * Workers that were ready and warm at the list's last word: what these answer is what is
     * counted.
     */
    int warmWorkers;

    int slots;
    double speed = STANDARD_SPEED;

    /** The mean of what ours do not explain, over the usual memory and over a short one. */
    double externalWait;

    double recentExternalWait;

    /**
     * By how much in all the launches not yet started have waited past the mean, as last looked at.
     */
    double overdueWait;

    /** Waits guessed from answers are as noisy as the sizes of jobs. */
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

    /** Waits are this model's own only where starts are told. */
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

    /** Work answered by one of the carriers. */
    void recordCompletedWork(double now, double work) {
        completedWork.add(now, work / warmWorkers, 0);
    }

    /**
     * The work that one of its warm workers has done for us in a second, as a mean since then at
     * most.
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
     * Guards against bouncing on old waits: without launches no new wait is seen, so old ones fade.
     */
    void updateWaits(double now, double memory, double recentMemory) {
        externalWait = waits.decayedSecond(now, memory, priorWeight, overdueWait);
        recentExternalWait = waits.decayedSecond(now, recentMemory, priorWeight, overdueWait);
    }
}
