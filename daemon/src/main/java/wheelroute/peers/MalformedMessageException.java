package wheelroute.peers;

/** Thrown if a datagram is not a valid message. The exception message names the invalid field. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason) {
        // A stack trace would make rejections expensive, and invalid datagrams may arrive at any
        // rate.
        super(reason, null, false, false);
    }
}
