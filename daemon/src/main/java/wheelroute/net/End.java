package wheelroute.net;

import wheelroute.decision.Outcome;

/**
 * Every way in which the connection of a launch can end, and the one place where each becomes an
 * outcome.
 */
public enum End {
    /** The worker's last line has the result. */
    DONE,
    /** A last line, or a status 500, that tells of an error. */
    FAILED,
    /** A last line that hands the submission back unstarted. */
    RETURNED,
    /** A status 503 or 504 with the mark that nothing was begun. */
    TURNED_AWAY,
    /** A status that finds fault with the submission itself. */
    UNUSABLE,
    /** Any other status that the protocol does not name. */
    ODD_STATUS,
    /** A last line that says that the job was killed. */
    LOST,
    /** The connection was refused. */
    REFUSED,
    /** The connection never came up. */
    NEVER_UP,
    /** No descriptor is left for one more connection. */
    NO_ROOM,
    /** It broke before the last byte of the launch was written. */
    BROKE_UNSENT,
    /** It broke or ended before the worker's last line. */
    BROKE,
    /** A kept connection broke before any byte of the answer to its next launch. */
    STALE,
    /** What came is not the protocol, or speaks of another launch. */
    NONSENSE,
    /** The decisions called it off. */
    CALLED_OFF,
    /** Nothing came before the outer limit, or before this dispatcher's own end. */
    TIMED_OUT,
    /** It was ended before its last byte was written, whatever for. */
    ENDED_UNSENT;

    /** "Never ran" only where the protocol proves it; in doubt it may have. */
    public Outcome outcome() {
        return switch (this) {
            case DONE -> Outcome.ANSWERED;
            case FAILED, ODD_STATUS -> Outcome.ERRED;
            case RETURNED, TURNED_AWAY -> Outcome.TURNED_AWAY;
            case UNUSABLE -> Outcome.UNUSABLE;
            case STALE -> Outcome.STALE;
            case LOST, BROKE, NONSENSE -> Outcome.BROKEN_OFF;
            case REFUSED, NEVER_UP, BROKE_UNSENT -> Outcome.UNCONNECTED;
            case CALLED_OFF -> Outcome.CANCELLED;
            case TIMED_OUT -> Outcome.TIMED_OUT;
            // Want of room is ours: held against a worker it would put one after the other on
            // probation.
            case ENDED_UNSENT, NO_ROOM -> Outcome.NEVER_SENT;
        };
    }
}
