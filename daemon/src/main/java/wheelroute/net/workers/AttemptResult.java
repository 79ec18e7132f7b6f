package wheelroute.net.workers;

import wheelroute.decision.Outcome;

/** How an attempt ended on its connection, and the outcome that the policy receives. */
public enum AttemptResult {
    /** The worker's last status line contains the result. */
    SUCCEEDED("done"),
    /** The worker reported an error in its last status line or by HTTP status 500. */
    FAILED("failed"),
    /** The worker's last status line returns the request, which the worker has not started. */
    HANDED_BACK("returned"),
    /** The response has status 503 or 504 and says that the request was not processed. */
    REJECTED("turned_away"),
    /** The response has a status which says that the request itself is invalid. */
    INVALID_REQUEST("unusable"),
    /** The response has any other status. */
    UNEXPECTED_STATUS("odd_status"),
    /** The worker's last status line reports that the job was killed. */
    KILLED("lost"),
    /** The worker refused the connection, was unreachable, or is not in the endpoint list. */
    CONNECTION_REFUSED("refused"),
    /** The connection was not established within the timeout. */
    CONNECT_TIMEOUT("never_up"),
    /**
     * This machine had no file descriptor, port, buffer or route for the connection, or the limit
     * on connections was reached.
     */
    CONNECT_FAILED_LOCALLY("no_room"),
    /** The connection broke before the last byte of the attempt was written. */
    BROKEN_BEFORE_SENT("broke_unsent"),
    /** The connection broke or was closed before the worker's last status line arrived. */
    CONNECTION_LOST("broke"),
    /** A reused connection broke before the first byte of the response arrived. */
    STALE_CONNECTION("stale"),
    /** The response violates the protocol or belongs to another attempt. */
    PROTOCOL_ERROR("nonsense"),
    /** The policy cancelled the attempt. */
    CANCELLED("called_off"),
    /** No response arrived before the deadline, or before the end of this process. */
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
     * Returns the outcome that the policy receives. Unless the protocol proves that the attempt did
     * not run, the outcome is one of those after which the attempt may have run.
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
            // A shortage on this machine must not count against workers, or all would be ejected.
            case NOT_SENT, CONNECT_FAILED_LOCALLY -> Outcome.NOT_SENT;
        };
    }
}
