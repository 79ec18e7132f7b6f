package wheelroute.net.workers;

import wheelroute.net.AttemptResult;

/** What one launch tells whoever made it; exactly one end. */
public interface AttemptListener {
    byte[] NO_RESULT = {};

    /** Whether it should still go out, asked after it has waited for a connection. */
    boolean isStillWanted();

    void onStarted();

    void onProgress(double share);

    /** The result is empty but for a DONE; NaN for no report of free slots. */
    void onEnded(AttemptResult end, byte[] result, double freeSlots);
}
