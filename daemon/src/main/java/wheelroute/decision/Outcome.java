package wheelroute.decision;

/** The way in which an attempt ended, and whether its effect may have happened. */
public enum Outcome {
    /** The worker answered with the result. */
    SUCCEEDED(true),
    /** The worker answered that the job failed. */
    FAILED(true),
    /** The worker rejected the job without beginning it. */
    REJECTED(false),
    /** No answer arrived in time. */
    TIMED_OUT(true),
    /**
     * No connection to the worker was established, or it broke before the whole attempt was sent.
     */
    CONNECT_FAILED(false),
    /** The connection broke after the attempt was sent. */
    CONNECTION_LOST(true),
    /** This dispatcher cancelled the attempt after it was sent. */
    CANCELLED(true),
    /** The attempt ended before it was sent, for a reason within this dispatcher. */
    NOT_SENT(false),
    /**
     * An idle connection broke while the attempt was sent on it. The job may have run, and the
     * worker is not at fault.
     */
    STALE_CONNECTION(true),
    /** The worker answered that the request is invalid, as any other worker would. */
    INVALID_REQUEST(true),
    /** This version does not know the outcome; the job may have run. */
    UNKNOWN(true);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the job may have run, which is false only if it certainly never began. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the job may still be running because the worker did not report its end. */
    public boolean mayStillRun() {
        return switch (this) {
            case TIMED_OUT, CONNECTION_LOST, CANCELLED, STALE_CONNECTION, UNKNOWN -> true;
            case SUCCEEDED, FAILED, REJECTED, CONNECT_FAILED, NOT_SENT, INVALID_REQUEST -> false;
        };
    }
}
