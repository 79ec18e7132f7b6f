package wheelroute.net.workers;

import wheelroute.decision.Outcome;

/**
 * Every way in which an attempt's connection can end, and the one mapping from each to the {@link
 * Outcome} that the decisions reckon with.
 */
public enum AttemptResult {
    /** The worker's last line has the result. */
    SUCCEEDED("done"),
    /** A last line, or a status 500, that tells of an error. */
    FAILED("failed"),
    /** A last line that hands the request back unstarted. */
    HANDED_BACK("returned"),
    /** A status 503 or 504 with the mark that nothing was begun. */
    REJECTED("turned_away"),
    /** A status that finds fault with the request itself. */
    INVALID_REQUEST("unusable"),
    /** Any other status that the protocol does not name. */
    UNEXPECTED_STATUS("odd_status"),
    /** A last line that says that the job was killed. */
    KILLED("lost"),
    /** The connection was refused. */
    CONNECTION_REFUSED("refused"),
    /** The connection never came up. */
    CONNECT_TIMEOUT("never_up"),
    /**
     * This machine has no descriptor, port or buffer left for one more connection, or no route for
     * it.
     */
    CONNECT_FAILED_LOCALLY("no_room"),
    /** It broke before the last byte of the attempt was written. */
    BROKEN_BEFORE_SENT("broke_unsent"),
    /** It broke or ended before the worker's last line. */
    CONNECTION_LOST("broke"),
    /** A kept-alive connection broke before the first byte of the response to its next attempt. */
    STALE_CONNECTION("stale"),
    /** What came is not the protocol, or speaks of another attempt. */
    PROTOCOL_ERROR("nonsense"),
    /** The decisions cancelled it. */
    CANCELLED("called_off"),
    /** Nothing came before the deadline, or before this dispatcher's own end. */
    TIMED_OUT("timed_out"),
    /** It was ended before its last byte was written, whatever for. */
    NOT_SENT("ended_unsent");

    private final String metricLabel;

    AttemptResult(String metricLabel) {
        this.metricLabel = metricLabel;
    }

    /** The value of the label {@code end} in the metric {@code launch_ends_total}. */
    public String metricLabel() {
        return metricLabel;
    }

    /** The outcome; "never ran" only where the protocol proves it, as in doubt it may have run. */
    public Outcome outcome() {
        return switch (this) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case FAILED, UNEXPECTED_STATUS -> Outcome.FAILED;
            case HANDED_BACK, REJECTED -> Outcome.REJECTED;
            case INVALID_REQUEST -> Outcome.INVALID_REQUEST;
            case STALE_CONNECTION -> Outcome.STALE_CONNECTION;
            case KILLED, CONNECTION_LOST, PROTOCOL_ERROR -> Outcome.CONNECTION_LOST;
            case CONNECTION_REFUSED, CONNECT_TIMEOUT, BROKEN_BEFORE_SENT -> Outcome.CONNECT_FAILED;
            case CANCELLED -> Outcome.CANCELLED;
            case TIMED_OUT -> Outcome.TIMED_OUT;
            // What this machine lacks is ours: held against workers it would eject one after the
            // other.
            case NOT_SENT, CONNECT_FAILED_LOCALLY -> Outcome.NOT_SENT;
        };
    }
}
