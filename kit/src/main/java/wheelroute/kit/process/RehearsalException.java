package wheelroute.kit.process;

/** Thrown if a run cannot start or continue. The message states the reason. */
public class RehearsalException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message the reason, as shown to the user
     */
    public RehearsalException(String message) {
        super(message);
    }

    /**
     * Creates an exception with the cause that ended the run.
     *
     * @param message the reason, as shown to the user
     */
    public RehearsalException(String message, Throwable cause) {
        super(message, cause);
    }
}
