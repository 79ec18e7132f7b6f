package wheelroute.kit.model;

/** Sees what happens at workers, whatever the dispatcher makes of it. */
public interface EventListener {
    /** Its last byte has come. */
    void arrived(WorkerAttempt launch, WorkerModel worker);

    void began(WorkerAttempt launch, WorkerModel worker);

    /** What the worker made of it; told says whether its word went out. */
    void ended(WorkerAttempt launch, WorkerModel worker, AttemptEnding ending, boolean told);

    /** Too much came while it was cold. */
    void fell(WorkerModel worker);
}
