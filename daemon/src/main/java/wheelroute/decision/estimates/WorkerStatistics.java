package wheelroute.decision.estimates;

import wheelroute.decision.LearnedState;

/** What was measured of one worker. */
public final class WorkerStatistics {
    /** Work and run time of jobs; run times are scaled to a worker past its slow start. */
    final SampleWindow runs;

    /** Seconds of unexplained waiting of attempts. */
    final SampleWindow waits;

    /** One sample for each failure that counts against the worker. */
    private final SampleWindow failures;

    /** Creates empty windows of this many samples. */
    public WorkerStatistics(int sampleCount) {
        runs = new SampleWindow(sampleCount);
        waits = new SampleWindow(sampleCount);
        failures = new SampleWindow(sampleCount);
    }

    /** Records a failure that counts against the worker. */
    public void recordFailure(double now) {
        failures.add(now, 1, 1);
    }

    /** Returns the number of failures since a time. */
    public int failuresSince(double time) {
        return failures.countSince(time);
    }

    /** Drops the failures, as the worker was reinstated. */
    public void clearFailures() {
        failures.clear();
    }

    /** Returns the samples for another process, with ages in place of times. */
    public LearnedState.WorkerSamples export(double now) {
        return new LearnedState.WorkerSamples(
                runs.export(now), waits.export(now), failures.export(now));
    }

    /** Takes over samples exported by another process. */
    public void restore(double now, LearnedState.WorkerSamples samples) {
        runs.restore(now, samples.runs());
        waits.restore(now, samples.waits());
        failures.restore(now, samples.failures());
    }

    /** Drops all samples, as when the worker's process has restarted. */
    public void clear() {
        runs.clear();
        waits.clear();
        failures.clear();
    }
}
