package wheelroute.net.workers;

import wheelroute.decision.Outcome;

/** How an attempt ended on its connection, and what that means for the decisions. */
public enum AttemptResult {
    /** The worker's last status line has the result. */
    SUCCEEDED("done"),
    /** The worker's last status line, or a status 500, reports an error. */
    FAILED("failed"),
    /** The worker's last status line hands the request back unstarted. */
    HANDED_BACK("returned"),
    /** A status 503 or 504 with the mark that the request was not processed. */
    REJECTED("turned_away"),
    /** A status that blames the request itself. */
    INVALID_REQUEST("unusable"),
    /** Any other status. */
    UNEXPECTED_STATUS("odd_status"),
    /** The worker's last status line reports that the job was killed. */
    KILLED("lost"),
    /** The worker refused the connection or was unreachable, or it is not in the list. */
    CONNECTION_REFUSED("refused"),
    /** The connection was not established in time. */
    CONNECT_TIMEOUT("never_up"),
    /** This machine had no descriptor, port, buffer or route for the connection. */
    CONNECT_FAILED_LOCALLY("no_room"),
    /** The connection broke before the last byte of the attempt was written. */
    BROKEN_BEFORE_SENT("broke_unsent"),
    /** The connection broke or was closed before the worker's last status line. */
    CONNECTION_LOST("broke"),
    /** A reused connection broke before the first byte of the response. */
    STALE_CONNECTION("stale"),
    /** The response does not follow the protocol, or is for another attempt. */
    PROTOCOL_ERROR("nonsense"),
    /** The decisions cancelled the attempt. */
    CANCELLED("called_off"),
    /** There was no response before the deadline, or before the end of this process. */
    TIMED_OUT("timed_out"),
    /** The attempt was aborted before its last byte was written, for any reason. */
    NOT_SENT("ended_unsent");

    private final String metricLabel;

    AttemptResult(String metricLabel) {
        this.metricLabel = metricLabel;
    }

    /** Returns the value of the label {@code end} in the metric {@code launch_ends_total}. */
    public String metricLabel() {
        return metricLabel;
    }

    /**
     * Returns the outcome for the decisions. Unless the protocol proves that the attempt did not
     * run, it is one of those that may have run.
     */
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
            // Counted against workers, a shortage on this machine would eject all of them.
            case NOT_SENT, CONNECT_FAILED_LOCALLY -> Outcome.NOT_SENT;
        };
    }
}
