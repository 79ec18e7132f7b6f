package wheelroute.decision;

/**
 * What was measured of one worker: how long jobs ran, how long launches waited past ours, what
 * failed.
 */
final class OfWorker {
    final Samples runs;
    final Samples waits;
    final Samples failures;

    OfWorker(int kept) {
        runs = new Samples(kept);
        waits = new Samples(kept);
        failures = new Samples(kept);
    }

    Learned.OfWorker told(double now) {
        return new Learned.OfWorker(runs.told(now), waits.told(now), failures.told(now));
    }

    void take(double now, Learned.OfWorker told) {
        runs.take(now, told.runs());
        waits.take(now, told.waits());
        failures.take(now, told.failures());
    }

    void clear() {
        runs.clear();
        waits.clear();
        failures.clear();
    }
}
