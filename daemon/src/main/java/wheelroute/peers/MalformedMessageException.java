package wheelroute.peers;

/** Bytes that are no datagram of ours. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String why) {
        // A flood of them must not cost a stack trace each.
        super(why, null, false, false);
    }
}
