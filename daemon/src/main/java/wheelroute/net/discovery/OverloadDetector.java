package wheelroute.net.discovery;

/**
 * Distinguishes an overloaded discovery from one that is down, by the failures of calls that were
 * not to be held.
 *
 * <p>A service that is down fails all calls in the same way: connections are refused, or a proxy
 * answers promptly in its place, or there is no response. An overloaded service does both: it
 * rejects some calls promptly, which proves that it is up, and leaves others waiting in its queue.
 * Both kinds of failure since the last response therefore mean overload.
 *
 * <p>Not thread-safe.
 */
final class OverloadDetector {
    /** A call that is rejected within this time was rejected without having been queued. */
    static final double PROMPT_REJECTION_SECONDS = 0.5;

    /** A call that failed after this time was waiting in a queue, or discovery is down. */
    static final double QUEUED_SECONDS = 1;

    private boolean rejectedPromptly;
    private boolean leftWaiting;

    /**
     * Records the failure of a call that discovery was not asked to hold.
     *
     * @param durationSeconds from the start of the call to its failure
     * @param rejected whether discovery answered with an error status
     */
    void onFailure(double durationSeconds, boolean rejected) {
        rejectedPromptly |= rejected && durationSeconds <= PROMPT_REJECTION_SECONDS;
        leftWaiting |= durationSeconds >= QUEUED_SECONDS;
    }

    /** Records a successful response, which ends an overload. */
    void onResponse() {
        rejectedPromptly = false;
        leftWaiting = false;
    }

    /** Whether discovery is up but has more callers than it can serve. */
    boolean isOverloaded() {
        return rejectedPromptly && leftWaiting;
    }
}
