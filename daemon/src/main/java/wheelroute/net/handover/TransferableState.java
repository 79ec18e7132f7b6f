package wheelroute.net.handover;

import java.io.IOException;

/** The state that one process passes to the next. Only for the event loop's thread. */
public interface TransferableState {
    /** Returns the endpoint list in discovery's format, or null before the first list. */
    String exportEndpoints();

    /** Returns what the policy has learned, as one line. */
    String exportLearnedState();

    /** Returns a copy of the client-given ids of the requests that are open in this process. */
    Iterable<String> openRequestIds();

    /**
     * Imports a predecessor's endpoint list.
     *
     * @throws IOException if it is malformed; then nothing is imported
     */
    void importEndpoints(byte[] list) throws IOException;

    /**
     * Imports what a predecessor has learned.
     *
     * @throws IOException if it is malformed or of another version; then nothing is imported
     */
    void importLearnedState(byte[] learned) throws IOException;
}
