package wheelroute.kit.model;

/** Observes events at workers, including those of which no dispatcher is notified. */
public interface WorkerEventListener {
    /** Called when the last byte of an attempt has arrived. */
    void onArrived(WorkerAttempt attempt, WorkerModel worker);

    /** Called when a worker has started an attempt. */
    void onStarted(WorkerAttempt attempt, WorkerModel worker);

    /**
     * Called when an attempt has ended.
     *
     * @param delivered whether the end of the attempt reaches the dispatcher
     */
    void onEnded(
            WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean delivered);

    /** Called when a worker in slow start crashes because of overload. */
    void onCollapsed(WorkerModel worker);
}
