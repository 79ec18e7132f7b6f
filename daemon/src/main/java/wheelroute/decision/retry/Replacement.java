package wheelroute.decision.retry;

/** The way of replacing an attempt that its worker has lost or does not respond to. */
public enum Replacement {
    /** A second attempt is sent while the first one stays in flight. */
    HEDGE,
    /** The attempt is cancelled, and the retry follows when its end is reported. */
    CANCEL_THEN_RETRY,
    /** The attempt is not replaced. */
    NONE
}
