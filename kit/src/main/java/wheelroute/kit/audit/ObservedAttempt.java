package wheelroute.kit.audit;

import wheelroute.kit.model.WorkerModel;

/** An attempt as observed at its worker. */
final class ObservedAttempt {
    final RequestRecord record;
    final WorkerModel worker;
    final double arrivedAt;

    /** Whether the dispatcher can know that the attempt has ended. */
    boolean ended;

    /** Whether the dispatcher was notified that the attempt was never started. */
    boolean neverRan;

    ObservedAttempt(RequestRecord record, WorkerModel worker, double arrivedAt) {
        this.record = record;
        this.worker = worker;
        this.arrivedAt = arrivedAt;
    }
}
