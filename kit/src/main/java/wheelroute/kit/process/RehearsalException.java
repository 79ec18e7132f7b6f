package wheelroute.kit.process;

/** Thrown if a run cannot begin or go on; the message says why. */
public class RehearsalException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public RehearsalException(String message) {
        super(message);
    }

    /** Creates an exception with the cause that ended the run. */
    public RehearsalException(String message, Throwable cause) {
        super(message, cause);
    }
}
