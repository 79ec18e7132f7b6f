package wheelroute.adapter;

/** Thrown for input that does not follow the wire protocol. The message names line and fault. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names the line, if there is one, and the fault. */
    public WireException(String message) {
        super(message);
    }
}
