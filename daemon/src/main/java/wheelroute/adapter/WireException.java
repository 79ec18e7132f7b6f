package wheelroute.adapter;

/** The input does not follow the wire protocol; the message names the line and the fault. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the line where there is one. */
    public WireException(String message) {
        super(message);
    }
}
