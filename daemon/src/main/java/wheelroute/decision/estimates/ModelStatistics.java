package wheelroute.decision.estimates;

import wheelroute.decision.LearnedState;

/**
 * What was measured of all workers of one model: their speed, their slots, and how long attempts
 * wait there. Times are in seconds.
 */
public final class ModelStatistics {
    private static final double STANDARD_SPEED = 1;

    /** The work rate is measured over this long: at one result a second, less would be chance. */
    private static final double RATE_PERIOD = 20;

    private static final int MIN_RATE_SAMPLES = 3;
    private static final int SAMPLE_COUNT = 64;

    /** Pairs of work and run time. */
    private final SampleWindow runs;

    /**
     * Pairs of how long an attempt waited for its start, and how much of it this dispatcher's own
     * attempts do not explain.
     */
    private final SampleWindow waits;

    /** Work times slots that warm workers completed, divided by the number of warm workers. */
    private final SampleWindow completedWork;

    private double rateComputedAt = Double.NaN;
    private double rate;

    /** Workers that were ready and warm at the last change of the endpoint list. */
    private int warmWorkers;

    private int slots;
    private double speed = STANDARD_SPEED;

    /** Mean unexplained wait, over the usual memory and over a short one. */
    private double externalWait;

    private double recentExternalWait;

    /** By how much, summed over attempts that have not started, they have waited past the mean. */
    private double overdueWait;

    /** Waits guessed from results are as noisy as the sizes of jobs and need a heavier prior. */
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
     * Takes over exported samples; waits only where starts are told, as else they are not its own.
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

    /** Slots of a worker as far as seen; 0 before any was. */
    int slots() {
        return slots;
    }

    /** So many slots were seen in use or free at one time: the number only ever grows. */
    void noteSlots(int seen) {
        slots = Math.max(slots, seen);
    }

    /** Work that a slot does in a second. */
    public double speed() {
        return speed;
    }

    void recordRun(double now, double work, double run) {
        runs.add(now, work, run);
        refitSpeed();
    }

    /**
     * @param wait from the send of an attempt to its start
     * @param unexplained of that, what this dispatcher's own attempts do not explain
     */
    void recordWait(double now, double wait, double unexplained) {
        waits.add(now, wait, unexplained);
    }

    /** The longest of the waits that are remembered. */
    public double longestWait() {
        return waits.maxOfFirst();
    }

    /** Mean unexplained wait as of the last update. */
    double externalWait() {
        return externalWait;
    }

    /** The same over a short memory. */
    public double recentExternalWait() {
        return recentExternalWait;
    }

    /** Forgets the waits of attempts that had not started at the last sweep. */
    public void clearOverdueWait() {
        overdueWait = 0;
    }

    /** An attempt that has not started has waited this much longer than the mean. */
    void addOverdueWait(double wait) {
        overdueWait += wait;
    }

    /** Begins a new count of warm workers. */
    public void clearWarmWorkers() {
        warmWorkers = 0;
    }

    /** Counts a worker of this model that is ready and warm. */
    public void countWarmWorker() {
        warmWorkers++;
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
    public double workRatePerWorker(double now, double earliest) {
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
