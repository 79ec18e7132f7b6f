package wheelroute.decision;

/**
 * One accepted request, from {@link Policy#accept} until its last attempt has ended. Whoever drives
 * the policy reports every event of the request here.
 *
 * <p>Not thread-safe, like the policy; {@link Policy#advanceTo} precedes each call. Attempts are
 * numbered from 0 in the order of {@link ActionHandler#startAttempt}; unknown numbers are ignored.
 */
public interface RequestHandle {
    /** Whether the request needs no answer any more and no attempt of it is in flight. */
    boolean isComplete();

    /**
     * Handles that the client is gone or has its answer: nothing more is decided for the request.
     */
    void onClientGone();

    /** Handles the deadline: a request with no attempt in flight is rejected or failed at once. */
    void onDeadline();

    /**
     * Handles a worker's report that it has begun an attempt; see {@link Settings#reportsStart}.
     */
    void onStarted(int attempt);

    /**
     * Handles a worker's report of progress.
     *
     * @param share the part of the work that is done, from 0 to 1; 0 and less is ignored
     */
    void onProgress(int attempt, double share);

    /** Handles that the first part of a result was sent: no other attempt may answer any more. */
    void onStreaming(int attempt);

    /**
     * Handles the end of an attempt. Before this returns, the policy may start another one or
     * answer the request.
     *
     * @param answered whether the request has its final answer, by this attempt or before it
     * @param report the worker's load, {@link LoadReport#NONE} where it reported nothing
     */
    void onEnded(int attempt, Outcome outcome, boolean answered, LoadReport report);
}
