package wheelroute.peers;

/** The bytes of a datagram are no valid message; the text says which field is wrong. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason) {
        // Without a stack trace: anybody may send any number of invalid datagrams.
        super(reason, null, false, false);
    }
}
