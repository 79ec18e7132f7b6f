package wheelroute.decision;

/** How an attempt ended, and whether its effect may have happened. */
public enum Outcome {
    /** The worker answered with the result. */
    SUCCEEDED(true),
    /** The worker answered that the job failed. */
    FAILED(true),
    /** The worker refused to begin the job. */
    REJECTED(false),
    /** No answer came in time. */
    TIMED_OUT(true),
    /** No connection to the worker came up, or it broke before the attempt was sent whole. */
    CONNECT_FAILED(false),
    /** The connection broke after the attempt was sent. */
    CONNECTION_LOST(true),
    /** This dispatcher cancelled it after it was sent. */
    CANCELLED(true),
    /** It ended before it was sent, for a reason that is not the worker's. */
    NOT_SENT(false),
    /** It may have run, but the break tells of an old connection and not of its worker. */
    STALE_CONNECTION(true),
    /** The worker finds fault with the request itself, as any other worker would. */
    INVALID_REQUEST(true),
    /** An outcome that this version has no name for; to be safe it counts as run. */
    UNKNOWN(true);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** False only where it is certain that the job never began. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether the job may still be running: nobody has said that it ended. */
    public boolean mayStillRun() {
        return switch (this) {
            case TIMED_OUT, CONNECTION_LOST, CANCELLED, STALE_CONNECTION, UNKNOWN -> true;
            case SUCCEEDED, FAILED, REJECTED, CONNECT_FAILED, NOT_SENT, INVALID_REQUEST -> false;
        };
    }
}
