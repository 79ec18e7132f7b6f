package wheelroute.net.handover;

import java.io.IOException;
import java.util.Iterator;

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

    /** Returns a copy of the identities of the open requests that must not run twice. */
    Iterable<String> openKeys();

    /**
     * Returns the attempts that may have run of all requests, as lines of text that are made one by
     * one.
     */
    Iterator<String> exportAttemptHistory();

    /**
     * Imports one line of the attempt history of a predecessor.
     *
     * @throws IOException if the line is malformed or cannot be used; nothing is imported then
     */
    void importAttemptHistory(String line) throws IOException;

    /**
     * Imports the first attempt of a request, which another process is about to send.
     *
     * @throws IOException if the text is malformed; nothing is imported then
     */
    void importAttempt(String attempt) throws IOException;

    /**
     * Imports that no attempt of a request of another process has run.
     *
     * @throws IOException if the text is malformed
     */
    void importNeverRan(String request) throws IOException;

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
