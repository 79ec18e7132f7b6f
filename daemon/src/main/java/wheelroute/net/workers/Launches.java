package wheelroute.net.workers;

import wheelroute.net.End;

/** What one launch tells whoever made it; exactly one end. */
public interface Launches {
    byte[] NO_RESULT = {};

    /** Whether it should still go out, asked after it has waited for a connection. */
    boolean isWanted();

    void started();

    void progressed(double share);

    /** The result is empty but for a DONE; NaN for no report of free slots. */
    void ended(End end, byte[] result, double freeSlots);
}
