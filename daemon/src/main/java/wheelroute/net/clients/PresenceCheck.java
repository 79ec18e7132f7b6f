package wheelroute.net.clients;

import java.io.IOException;

/**
 * Finds out whether the client of a connection is still connected. After a pause of the process, a
 * message may come from a client that has disconnected since, and for which no attempt should be
 * started. The end of the stream can only be seen behind all input, so all input is read.
 *
 * <p>Used on the event loop's thread only.
 */
final class PresenceCheck {
    /**
     * The most that a check before an attempt reads: many messages of the maximum size. A client
     * that has sent more may be gone, and reading on would keep the event loop busy.
     */
    static final int MAX_BYTES = 1024 * 1024;

    /** Reads from the connection. */
    interface Reader {
        /** Reads once without waiting. Returns the number of bytes, or -1 at the end. */
        int readOnce() throws IOException;
    }

    private final Reader reader;

    /**
     * Creates a check.
     *
     * @param reader also keeps or discards what it reads
     */
    PresenceCheck(Reader reader) {
        this.reader = reader;
    }

    /**
     * Reads the input that has arrived.
     *
     * @param maxBytes the most input to read
     */
    ClientPresence check(int maxBytes) {
        try {
            int count;
            for (int total = 0; total < maxBytes; total += count) {
                count = reader.readOnce();
                if (count <= 0) {
                    return count < 0 ? ClientPresence.GONE : ClientPresence.CONNECTED;
                }
            }
            return ClientPresence.UNCERTAIN;
        } catch (IOException e) {
            return ClientPresence.GONE;
        }
    }
}
