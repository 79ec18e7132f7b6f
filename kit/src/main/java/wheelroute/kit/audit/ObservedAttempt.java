package wheelroute.kit.audit;

import wheelroute.kit.model.WorkerModel;

/** An attempt as its worker observed it. */
final class ObservedAttempt {
    final RequestRecord record;
    final WorkerModel worker;
    final double arrivedAt;

    /** The dispatcher can know that the attempt has ended. */
    boolean ended;

    /** The dispatcher is notified that the attempt was never started. */
    boolean neverRan;

    ObservedAttempt(RequestRecord record, WorkerModel worker, double arrivedAt) {
        this.record = record;
        this.worker = worker;
        this.arrivedAt = arrivedAt;
    }
}
