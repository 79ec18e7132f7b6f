package wheelroute.decision;

/** How a launch ended, and whether its effect may have happened. */
public enum Outcome {
    ANSWERED(true),
    ERRED(true),
    TURNED_AWAY(false),
    TIMED_OUT(true),
    UNCONNECTED(false),
    BROKEN_OFF(true),
    CANCELLED(true),
    NEVER_SENT(false),
    /** It may have run, but the break tells of an old connection and not of its worker. */
    STALE(true),
    /**
     * The worker finds fault with the submission: nothing is known of the worker, and none would
     * take it.
     */
    UNUSABLE(true),
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
            case TIMED_OUT, BROKEN_OFF, CANCELLED, STALE, UNKNOWN -> true;
            case ANSWERED, ERRED, TURNED_AWAY, UNCONNECTED, NEVER_SENT, UNUSABLE -> false;
        };
    }
}
