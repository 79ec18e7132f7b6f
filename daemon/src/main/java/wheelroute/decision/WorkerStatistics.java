package wheelroute.decision;

/** What was measured of one worker: pairs of work and run time, unexplained waits, and failures. */
final class WorkerStatistics {
    final SampleWindow runs;
    final SampleWindow waits;
    final SampleWindow failures;

    WorkerStatistics(int sampleCount) {
        runs = new SampleWindow(sampleCount);
        waits = new SampleWindow(sampleCount);
        failures = new SampleWindow(sampleCount);
    }

    LearnedState.WorkerSamples export(double now) {
        return new LearnedState.WorkerSamples(
                runs.export(now), waits.export(now), failures.export(now));
    }

    void restore(double now, LearnedState.WorkerSamples samples) {
        runs.restore(now, samples.runs());
        waits.restore(now, samples.waits());
        failures.restore(now, samples.failures());
    }

    void clear() {
        runs.clear();
        waits.clear();
        failures.clear();
    }
}
