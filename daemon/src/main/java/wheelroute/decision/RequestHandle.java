package wheelroute.decision;

/**
 * One accepted request, from {@link Policy#accept} until its last attempt has ended. Every event
 * that concerns the request is reported here by whoever drives the policy.
 *
 * <p>Like the policy it belongs to one thread, and {@link Policy#advanceTo} precedes each call.
 * Attempts are numbered from 0 in the order of {@link ActionHandler#startAttempt}; numbers that
 * were never given are ignored.
 */
public interface RequestHandle {
    /** Whether the request has its final answer and no attempt of it is in flight any more. */
    boolean isComplete();

    /** The client left, or it has its answer already: nothing more is decided for this request. */
    void onClientGone();

    /** The deadline has come. A request with no attempt in flight is rejected or failed at once. */
    void onDeadline();

    /**
     * The worker says that it has begun an attempt; only where the settings say that starts are
     * told.
     */
    void onStarted(int attempt);

    /**
     * The worker tells how far an attempt is.
     *
     * @param share the part of the work that is done, from 0 to 1; 0 and less is ignored
     */
    void onProgress(int attempt, double share);

    /** The first part of a result has gone to the client: no other attempt may answer any more. */
    void onStreaming(int attempt);

    /**
     * An attempt ended. The policy may start another one, or answer the request, before this
     * returns.
     *
     * @param answered whether the request has its final answer, by this attempt or before it
     * @param report the worker's load, {@link LoadReport#NONE} where it told nothing
     */
    void onEnded(int attempt, Outcome outcome, boolean answered, LoadReport report);
}
