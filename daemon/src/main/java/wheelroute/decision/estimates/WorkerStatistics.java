package wheelroute.decision.estimates;

import wheelroute.decision.LearnedState;

/** Measurements of one worker. */
public final class WorkerStatistics {
    /** The work of each job and its run time, scaled to a worker past its slow start. */
    private final SampleWindow runs;

    /** The unexplained wait of each attempt in seconds, and 1. */
    private final SampleWindow waits;

    /** One sample for each failure that counts against the worker; both figures are 1. */
    private final SampleWindow failures;

    /** Creates statistics that keep this many samples of runs, waits and failures each. */
    public WorkerStatistics(int sampleCount) {
        runs = new SampleWindow(sampleCount);
        waits = new SampleWindow(sampleCount);
        failures = new SampleWindow(sampleCount);
    }

    /** Records the work of a job and its run time, scaled to a worker past its slow start. */
    void recordRun(double now, double work, double runSeconds) {
        runs.add(now, work, runSeconds);
    }

    /**
     * Returns the work per second of recent runs and one prior run, multiplied by the ramp
     * fraction.
     */
    double smoothedSpeed(
            double now,
            double memorySeconds,
            double priorWork,
            double priorSeconds,
            double rampFraction) {
        return runs.decayedRatio(now, memorySeconds, priorWork, priorSeconds, rampFraction);
    }

    /** Records the part of an attempt's wait that this dispatcher's own attempts do not explain. */
    void recordWait(double now, double unexplainedSeconds) {
        waits.add(now, unexplainedSeconds, 1);
    }

    /** Returns the mean of recent unexplained waits and of prior samples, in seconds. */
    double smoothedWait(double now, double memorySeconds, double priorSum, double priorSamples) {
        return waits.decayedMeanOfFirst(now, memorySeconds, priorSum, priorSamples);
    }

    /** Records a failure that counts against the worker. */
    public void recordFailure(double now) {
        failures.add(now, 1, 1);
    }

    /** Returns the number of recorded failures since a time, in seconds. */
    public int failuresSince(double time) {
        return failures.countSince(time);
    }

    /** Removes all failures, for a worker that is reinstated. */
    public void clearFailures() {
        failures.clear();
    }

    /** Returns the samples for another process, with ages in place of times. */
    public LearnedState.WorkerSamples export(double now) {
        return new LearnedState.WorkerSamples(
                runs.export(now), waits.export(now), failures.export(now));
    }

    /** Adds samples that another process has exported. */
    public void restore(double now, LearnedState.WorkerSamples samples) {
        runs.restore(now, samples.runs());
        waits.restore(now, samples.waits());
        failures.restore(now, samples.failures());
    }

    /** Removes all samples, for a worker whose process has restarted. */
    public void clear() {
        runs.clear();
        waits.clear();
        failures.clear();
    }
}
