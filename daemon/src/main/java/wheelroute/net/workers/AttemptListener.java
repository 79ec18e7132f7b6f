package wheelroute.net.workers;

/**
 * Hears what happens to one attempt. {@link #onEnded} comes exactly once, and last. Only for the
 * event loop's thread.
 */
public interface AttemptListener {
    /** The body of an attempt that has no result. */
    byte[] NO_RESULT = {};

    /** Whether to send it still; asked after it has waited for a connection. */
    boolean isStillNeeded();

    /** The worker has begun to run it. */
    void onStarted();

    /**
     * The worker reports progress.
     *
     * @param share the part of the work that is done, from 0 to 1
     */
    void onProgress(double share);

    /**
     * The attempt has ended.
     *
     * @param body what goes to the client; empty unless it succeeded
     * @param freeSlots from the worker's load report; NaN for none
     */
    void onEnded(AttemptResult result, byte[] body, double freeSlots);
}
