package wheelroute.decision;

/** How a launch ended, and whether its effect may have happened. */
public enum Outcome {
    SUCCEEDED(true),
    FAILED(true),
    REJECTED(false),
    TIMED_OUT(true),
    CONNECT_FAILED(false),
    CONNECTION_LOST(true),
    CANCELLED(true),
    NOT_SENT(false),
    /** It may have run, but the break tells of an old connection and not of its worker. */
    STALE_CONNECTION(true),
    /**
     * The worker finds fault with the submission: nothing is known of the worker, and none would
     * take it.
     */
    INVALID_REQUEST(true),
    /** An outcome that this version has no name for: the careful reading is that it ran. */
    UNKNOWN(true);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Nobody has said that it ended. */
    public boolean mayStillRun() {
        return switch (this) {
            case TIMED_OUT, CONNECTION_LOST, CANCELLED, STALE_CONNECTION, UNKNOWN -> true;
            case SUCCEEDED, FAILED, REJECTED, CONNECT_FAILED, NOT_SENT, INVALID_REQUEST -> false;
        };
    }
}
