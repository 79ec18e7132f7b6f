package wheelroute.decision.estimates;

import wheelroute.decision.LearnedState;

/**
 * Measurements of all workers of one model: their speed, their slots, and the waits of attempts.
 * Times are in seconds.
 */
public final class ModelStatistics {
    private static final double STANDARD_SPEED = 1;

    /** Period over which the work rate is measured, long enough to contain enough results. */
    private static final double RATE_PERIOD_SECONDS = 20;

    private static final int MIN_RATE_SAMPLES = 3;
    private static final int SAMPLE_COUNT = 64;

    /** The work and the run time of each job at a worker past its slow start. */
    private final SampleWindow runs;

    /**
     * The wait of each attempt for its start, and the part of the wait that this dispatcher's own
     * attempts do not explain.
     */
    private final SampleWindow waits;

    /**
     * The work times slots of each job completed by a worker past its slow start, divided by the
     * number of such workers.
     */
    private final SampleWindow completedWork;

    private double rateComputedAt = Double.NaN;
    private double rate;

    /**
     * Number of workers that were ready and past their slow start at the last change of the
     * endpoint list.
     */
    private int warmWorkers;

    private int slots;
    private double speed = STANDARD_SPEED;

    /** Mean unexplained wait over the usual memory. */
    private double externalWait;

    /** Mean unexplained wait over a shorter memory. */
    private double recentExternalWait;

    /** Sum of the times by which the attempts that have not started exceed the mean wait. */
    private double overdueWait;

    /** Weight of a prior sample of zero wait. */
    private final double priorWeight;

    /**
     * Creates the statistics of one model.
     *
     * @param runs the window for the runs of this model
     * @param waits the window for waits, which several models may share
     * @param priorWeight the weight of a prior sample of zero wait
     */
    public ModelStatistics(SampleWindow runs, SampleWindow waits, double priorWeight) {
        this.runs = runs;
        this.waits = waits;
        this.priorWeight = priorWeight;
        this.completedWork = new SampleWindow(SAMPLE_COUNT);
    }

    /** Returns the samples for another process, with ages in place of times. */
    public LearnedState.ModelSamples export(double now) {
        return new LearnedState.ModelSamples(slots, runs.export(now), waits.export(now));
    }

    /**
     * Adds samples that another process has exported.
     *
     * @param withWaits whether to add the waits; false if all models share them
     */
    public void restore(double now, LearnedState.ModelSamples samples, boolean withWaits) {
        slots = samples.slots();
        runs.restore(now, samples.runs());
        refitSpeed();
        if (withWaits) {
            waits.restore(now, samples.waits());
        }
    }

    private void refitSpeed() {
        speed = runs.size() > 0 ? runs.sumOfFirst() / runs.sumOfSecond() : speed;
    }

    /** Returns the most slots that were seen at a worker so far; 0 before any were seen. */
    int slots() {
        return slots;
    }

    /** Records a number of slots that were seen in use or free at one time; the maximum counts. */
    void recordObservedSlots(int observed) {
        slots = Math.max(slots, observed);
    }

    /** Returns the work that one slot of a worker past its slow start does in a second. */
    public double speed() {
        return speed;
    }

    void recordRun(double now, double work, double run) {
        runs.add(now, work, run);
        refitSpeed();
    }

    /**
     * Records a wait in seconds.
     *
     * @param wait from the send of an attempt to its start
     * @param unexplained the part of the wait that this dispatcher's own attempts do not explain
     */
    void recordWait(double now, double wait, double unexplained) {
        waits.add(now, wait, unexplained);
    }

    /** Returns the longest wait among the recent samples, in seconds. */
    public double longestWait() {
        return waits.maxOfFirst();
    }

    /** Returns the mean unexplained wait as of the last update, in seconds. */
    double externalWait() {
        return externalWait;
    }

    /**
     * Returns the mean unexplained wait over the shorter memory as of the last update, in seconds.
     */
    public double recentExternalWait() {
        return recentExternalWait;
    }

    /**
     * Resets the overdue waits of attempts that have not started, before a sweep adds them again.
     */
    public void clearOverdueWait() {
        overdueWait = 0;
    }

    /** Adds the seconds by which an attempt that has not started exceeds the mean wait. */
    void addOverdueWait(double wait) {
        overdueWait += wait;
    }

    /** Resets the count of workers that are ready and past their slow start. */
    public void clearWarmWorkers() {
        warmWorkers = 0;
    }

    /** Counts a worker of this model that is ready and past its slow start. */
    public void countWarmWorker() {
        warmWorkers++;
    }

    /** Records the work times slots of a job that a worker past its slow start has completed. */
    void recordCompletedWork(double now, double work) {
        completedWork.add(now, work / warmWorkers);
    }

    /**
     * Returns the work per second that a worker past its slow start does for this dispatcher, as a
     * mean over {@link #RATE_PERIOD_SECONDS}; 0 if there are too few results.
     *
     * @param earliest the time since which results have been measured
     */
    public double workRatePerWorker(double now, double earliest) {
        if (now != rateComputedAt) {
            rateComputedAt = now;
            double from =
                    Math.max(
                            Math.max(earliest, now - RATE_PERIOD_SECONDS),
                            completedWork.completeSince(earliest));
            rate =
                    completedWork.countSince(from) < MIN_RATE_SAMPLES
                            ? 0
                            : completedWork.sumOfFirstSince(from) / Math.max(now - from, 1);
        }
        return rate;
    }

    /**
     * Computes the mean waits. The means decay even without new samples, because otherwise high
     * waits, which cause rejections and thus prevent new samples, would persist for ever.
     */
    void updateWaits(double now, double memorySeconds, double recentMemorySeconds) {
        externalWait =
                waits.linearlyDecayedMeanOfSecond(now, memorySeconds, priorWeight, overdueWait);
        recentExternalWait =
                waits.linearlyDecayedMeanOfSecond(
                        now, recentMemorySeconds, priorWeight, overdueWait);
    }
}
