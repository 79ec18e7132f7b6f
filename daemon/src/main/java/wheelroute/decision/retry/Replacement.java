package wheelroute.decision.retry;

/** How an attempt is replaced whose worker has lost it or has stopped responding. */
public enum Replacement {
    /** A second attempt is sent beside it. */
    HEDGE,
    /** It is cancelled; the retry follows when its end is reported. */
    CANCEL_THEN_RETRY,
    /** Nothing is done. */
    NONE
}
