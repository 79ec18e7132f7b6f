package wheelroute.adapter;

/**
 * Thrown for input that does not follow the wire protocol. The message contains the fault and, if
 * known, the line number.
 */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message contains the fault and, if known, the line number. */
    public WireException(String message) {
        super(message);
    }
}
