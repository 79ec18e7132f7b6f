package wheelroute.net.handover;

import java.io.IOException;

/** The state that a process transfers to its successor. Confined to the event loop's thread. */
public interface TransferableState {
    /**
     * Returns the endpoint list in discovery's format, or null if no list has been received yet.
     */
    String exportEndpoints();

    /** Returns the state that the policy has learned, as one line of text. */
    String exportLearnedState();

    /** Returns a copy of the client-given ids of the requests that are open in this process. */
    Iterable<String> openRequestIds();

    /**
     * Returns the attempts that may have run of requests that are not open any more, as one line of
     * text for each request.
     */
    Iterable<String> exportAttemptHistory();

    /**
     * Imports the attempts of one request of another process.
     *
     * @throws IOException if the text is malformed; nothing is imported then
     */
    void importAttempts(String entry) throws IOException;

    /**
     * Imports the endpoint list of a predecessor.
     *
     * @throws IOException if the list is malformed; nothing is imported then
     */
    void importEndpoints(byte[] list) throws IOException;

    /**
     * Imports the state that a predecessor's policy has learned.
     *
     * @throws IOException if the state is malformed or of another version; nothing is imported then
     */
    void importLearnedState(byte[] learned) throws IOException;
}
