package wheelroute.adapter;

import wheelroute.decision.Endpoint;
import wheelroute.decision.Outcome;
import wheelroute.units.TimeUnits;

/** Maps codes, words and times in wire messages to the types and units of this program. */
final class WireMapping {
    private WireMapping() {}

    /** Returns the outcome for the field {@code rc}, which has status codes of HTTP and proxies. */
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

    /** Returns the state for the field {@code readiness}; null for an unknown word. */
    static Endpoint.State endpointState(String word) {
        return switch (word) {
            case "active" -> Endpoint.State.READY;
            case "leaving" -> Endpoint.State.DRAINING;
            case "left" -> Endpoint.State.REMOVED;
            default -> null;
        };
    }

    /** Converts a field in whole microseconds. */
    static double seconds(long micros) {
        return micros / TimeUnits.MICROS_PER_SECOND;
    }

    /** Converts a field in microseconds. */
    static double seconds(double micros) {
        return micros / TimeUnits.MICROS_PER_SECOND;
    }

    /** Returns the rounded microseconds for the wire. */
    static long micros(double seconds) {
        return Math.round(seconds * TimeUnits.MICROS_PER_SECOND);
    }
}
