package wheelroute.decision.estimates;

import wheelroute.decision.LearnedState;

/**
 * What was measured of all workers of one model: their speed, their slots, and how long attempts
 * wait there. Times are in seconds.
 */
public final class ModelStatistics {
    private static final double STANDARD_SPEED = 1;

    /** The work rate is measured over this long, so that it holds enough results. */
    private static final double RATE_PERIOD_SECONDS = 20;

    private static final int MIN_RATE_SAMPLES = 3;
    private static final int SAMPLE_COUNT = 64;

    /** Work and run time of jobs at workers past their slow start. */
    private final SampleWindow runs;

    /**
     * How long an attempt waited for its start, and how much of that this dispatcher's own attempts
     * do not explain.
     */
    private final SampleWindow waits;

    /** Work times slots that workers past their slow start completed, per such worker. */
    private final SampleWindow completedWork;

    private double rateComputedAt = Double.NaN;
    private double rate;

    /** Workers that were ready and past their slow start at the endpoint list's last change. */
    private int warmWorkers;

    private int slots;
    private double speed = STANDARD_SPEED;

    /** Mean unexplained wait, over the usual memory and over a shorter one. */
    private double externalWait;

    private double recentExternalWait;

    /** Seconds by which attempts that have not started exceed the mean wait, summed over them. */
    private double overdueWait;

    /** The weight of a prior sample of no wait. */
    private final double priorWeight;

    /** Creates the statistics of one model from the windows that hold its samples. */
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
     * Takes over exported samples.
     *
     * @param withWaits false where the waits are shared by all models
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

    /** Returns the slots of a worker that were seen so far; 0 before any was. */
    int slots() {
        return slots;
    }

    /** Records that so many slots were seen in use or free at one time; the maximum counts. */
    void noteSlots(int seen) {
        slots = Math.max(slots, seen);
    }

    /** Returns the work that a slot does in a second. */
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
     * @param unexplained of that, what this dispatcher's own attempts do not explain
     */
    void recordWait(double now, double wait, double unexplained) {
        waits.add(now, wait, unexplained);
    }

    /** Returns the longest of the remembered waits. */
    public double longestWait() {
        return waits.maxOfFirst();
    }

    /** Returns the mean unexplained wait as of the last update. */
    double externalWait() {
        return externalWait;
    }

    /** Returns the mean unexplained wait over the shorter memory, as of the last update. */
    public double recentExternalWait() {
        return recentExternalWait;
    }

    /** Resets the waits of attempts that have not started, before a sweep adds them anew. */
    public void clearOverdueWait() {
        overdueWait = 0;
    }

    /** Adds the seconds by which an attempt that has not started exceeds the mean wait. */
    void addOverdueWait(double wait) {
        overdueWait += wait;
    }

    /** Begins a new count of workers past their slow start. */
    public void clearWarmWorkers() {
        warmWorkers = 0;
    }

    /** Counts a worker of this model that is ready and past its slow start. */
    public void countWarmWorker() {
        warmWorkers++;
    }

    /** Records that a worker past its slow start completed this much work times slots. */
    void recordCompletedWork(double now, double work) {
        completedWork.add(now, work / warmWorkers, 0);
    }

    /**
     * Returns the work per second that a worker past its slow start does for this dispatcher, as a
     * mean over {@link #RATE_PERIOD_SECONDS}; 0 with too few results.
     *
     * @param earliest the time since which results were measured
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
     * Computes the mean waits. They decay without new samples: requests that are rejected because
     * of them would otherwise keep them up for ever.
     */
    void updateWaits(double now, double memorySeconds, double recentMemorySeconds) {
        externalWait =
                waits.linearlyDecayedMeanOfSecond(now, memorySeconds, priorWeight, overdueWait);
        recentExternalWait =
                waits.linearlyDecayedMeanOfSecond(
                        now, recentMemorySeconds, priorWeight, overdueWait);
    }
}
