package wheelroute.net.workers;

/**
 * Receives the events of one attempt. {@link #onEnded} is called exactly once, as the last event.
 * All calls are on the event loop's thread.
 */
public interface AttemptListener {
    /** The body of an attempt that has no result. */
    byte[] NO_RESULT = {};

    /** Whether the attempt is still to be sent. Called when its connection has been opened. */
    boolean isStillNeeded();

    /** Called when the worker has started to run the attempt. */
    void onStarted();

    /**
     * Called when the worker reports progress.
     *
     * @param fraction the fraction of the work that is done, from 0 to 1
     */
    void onProgress(double fraction);

    /**
     * Called when the attempt has ended.
     *
     * @param body result for the client; empty unless the attempt succeeded
     * @param freeSlots number of free slots in the worker's load report; NaN if there is none
     */
    void onEnded(AttemptResult result, byte[] body, double freeSlots);
}
