package wheelroute.decision;

import java.util.List;

/**
 * An accepted request, from {@link Policy#accept} until its last attempt has ended. The caller of
 * the policy reports every event of the request to its handle.
 *
 * <p>A handle is not thread-safe, like the policy, and {@link Policy#advanceTo} must precede each
 * call. Attempts are numbered from 0 in the order of {@link ActionHandler#startAttempt}; unknown
 * numbers are ignored.
 */
public interface RequestHandle {
    /** Returns whether the request needs no further answer and has no attempt in flight. */
    boolean isComplete();

    /**
     * Returns the attempts that may have run, of earlier requests which this one repeats, and then
     * of this request in the order in which they were sent.
     */
    List<EarlierAttempt> attemptsThatMayHaveRun();

    /**
     * Handles that an attempt which this request would repeat may have run, of which another
     * process has told.
     */
    void onEarlierAttempt(EarlierAttempt attempt);

    /**
     * Handles that the client is gone or has its answer. Nothing more is decided for the request.
     */
    void onClientGone();

    /** Handles the deadline. A request with no attempt in flight is rejected or failed at once. */
    void onDeadline();

    /**
     * Handles a worker's report that it has begun an attempt; see {@link Settings#reportsStart}.
     */
    void onStarted(int attempt);

    /**
     * Handles a worker's report of progress.
     *
     * @param share the part of the work that is done, from 0 to 1; a share of 0 or less is ignored
     */
    void onProgress(int attempt, double share);

    /**
     * Handles that the first part of a result was sent to the client. No other attempt may answer
     * the request from then on.
     */
    void onStreaming(int attempt);

    /**
     * Handles the end of an attempt. Before this method returns, the policy may start another
     * attempt or answer the request.
     *
     * @param answered whether the request has its final answer, by this attempt or before it
     * @param report the load of the worker; {@link LoadReport#NONE} if the worker reported nothing
     */
    void onEnded(int attempt, Outcome outcome, boolean answered, LoadReport report);
}
