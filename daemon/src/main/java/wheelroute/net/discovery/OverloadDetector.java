package wheelroute.net.discovery;

/**
 * Distinguishes an overloaded discovery from one that is down by the failures of calls that
 * discovery was not allowed to hold.
 *
 * <p>All calls to a service that is down fail in the same way: connections are refused, or a proxy
 * rejects calls promptly, or there is no response. An overloaded service rejects some calls
 * promptly, which proves that it is up, and leaves other calls waiting in its queue. Failures of
 * both kinds since the last response therefore indicate an overload.
 *
 * <p>Not thread-safe.
 */
final class OverloadDetector {
    /** Maximum duration of a rejected call that counts as rejected without having been queued. */
    static final double PROMPT_REJECTION_SECONDS = 0.5;

    /**
     * Minimum duration of a failed call that counts as having waited in a queue, unless discovery
     * is down.
     */
    static final double QUEUED_SECONDS = 1;

    private boolean rejectedPromptly;
    private boolean failedAfterWait;

    /**
     * Records the failure of a call that discovery was not asked to hold.
     *
     * @param durationSeconds the time from the start of the call to its failure
     * @param rejected whether discovery answered with an error status
     */
    void onFailure(double durationSeconds, boolean rejected) {
        rejectedPromptly |= rejected && durationSeconds <= PROMPT_REJECTION_SECONDS;
        failedAfterWait |= durationSeconds >= QUEUED_SECONDS;
    }

    /** Records a successful response, which ends an overload. */
    void onResponse() {
        rejectedPromptly = false;
        failedAfterWait = false;
    }

    /** Returns whether discovery is up but has more callers than it can serve. */
    boolean isOverloaded() {
        return rejectedPromptly && failedAfterWait;
    }
}
