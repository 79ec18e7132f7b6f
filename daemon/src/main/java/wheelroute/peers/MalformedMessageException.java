package wheelroute.peers;

/** Thrown for a datagram that is not a valid message. The text names the invalid field. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason) {
        // Without a stack trace, to be cheap: invalid datagrams may arrive at any rate.
        super(reason, null, false, false);
    }
}
