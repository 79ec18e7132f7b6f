package wheelroute.kit.model;

/** Sees what happens at workers, whatever the dispatcher makes of it. */
public interface EventListener {
    /** Its last byte has come. */
    void onArrived(WorkerAttempt attempt, WorkerModel worker);

    void onStarted(WorkerAttempt attempt, WorkerModel worker);

    /** What the worker made of it; told says whether its word went out. */
    void onEnded(WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean told);

    /** Too much came while it was cold. */
    void onCollapsed(WorkerModel worker);
}
