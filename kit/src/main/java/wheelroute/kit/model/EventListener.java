package wheelroute.kit.model;

/** Observes events at workers, independently of what dispatchers make of them. */
public interface EventListener {
    /** The last byte of an attempt has arrived. */
    void onArrived(WorkerAttempt attempt, WorkerModel worker);

    /** An attempt was started. */
    void onStarted(WorkerAttempt attempt, WorkerModel worker);

    /** An attempt has ended; delivered is whether the worker could send its response. */
    void onEnded(
            WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean delivered);

    /** A worker in slow start was overloaded and has crashed. */
    void onCollapsed(WorkerModel worker);
}
