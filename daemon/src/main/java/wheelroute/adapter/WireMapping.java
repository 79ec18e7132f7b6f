package wheelroute.adapter;

import wheelroute.decision.Endpoint;
import wheelroute.decision.Outcome;

/** Maps the codes and words in the fields of wire messages to our types. */
final class WireMapping {
    private static final double MICROS_PER_SECOND = 1e6;

    private WireMapping() {}

    /** How an attempt ended, from the field {@code rc}: the status codes of HTTP and of proxies. */
    static Outcome outcome(long code) {
        return switch ((int) code) {
            case 200 -> Outcome.SUCCEEDED;
            case 502 -> Outcome.FAILED;
            case 429 -> Outcome.REJECTED;
            case 408 -> Outcome.TIMED_OUT;
            case 521 -> Outcome.CONNECT_FAILED;
            case 520 -> Outcome.CONNECTION_LOST;
            case 444 -> Outcome.CANCELLED;
            case 409 -> Outcome.NOT_SENT;
            default -> Outcome.UNKNOWN;
        };
    }

    /** An endpoint's state, from the field {@code readiness}; null for an unknown word. */
    static Endpoint.State endpointState(String word) {
        return switch (word) {
            case "active" -> Endpoint.State.READY;
            case "leaving" -> Endpoint.State.DRAINING;
            case "left" -> Endpoint.State.REMOVED;
            default -> null;
        };
    }

    /** Seconds, from a field in whole microseconds. */
    static double seconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }

    /** Seconds, from a field in microseconds. */
    static double seconds(double micros) {
        return micros / MICROS_PER_SECOND;
    }

    /** Microseconds for the wire, rounded. */
    static long micros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
