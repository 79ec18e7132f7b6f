package wheelroute.decision;

/** How an attempt ended, and whether its effect may have happened. */
public enum Outcome {
    /** The worker answered with the result. */
    SUCCEEDED(true),
    /** The worker answered that the job failed. */
    FAILED(true),
    /** The worker rejected the job without beginning it. */
    REJECTED(false),
    /** No answer came in time. */
    TIMED_OUT(true),
    /** No connection to the worker was made, or it broke before the whole attempt was sent. */
    CONNECT_FAILED(false),
    /** The connection broke after the attempt was sent. */
    CONNECTION_LOST(true),
    /** This dispatcher cancelled it after it was sent. */
    CANCELLED(true),
    /** It ended before it was sent, for a reason within this dispatcher. */
    NOT_SENT(false),
    /**
     * An idle connection broke as the attempt was sent: it may have run, and the worker is not at
     * fault.
     */
    STALE_CONNECTION(true),
    /** The worker answered that the request is invalid, as any other worker would. */
    INVALID_REQUEST(true),
    /** An outcome that this version does not know; the job may have run. */
    UNKNOWN(true);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the job may have run: false only where it certainly never began. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether the job may still be running, as the worker did not report its end. */
    public boolean mayStillRun() {
        return switch (this) {
            case TIMED_OUT, CONNECTION_LOST, CANCELLED, STALE_CONNECTION, UNKNOWN -> true;
            case SUCCEEDED, FAILED, REJECTED, CONNECT_FAILED, NOT_SENT, INVALID_REQUEST -> false;
        };
    }
}
