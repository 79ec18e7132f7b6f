package wheelroute.kit.process;

/** Thrown if a run was stopped before it had a result. */
public final class RunStoppedException extends RehearsalException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message states what was stopped
     */
    public RunStoppedException(String message) {
        super(message);
    }
}
