package wheelroute.adapter;

import wheelroute.decision.Endpoint;
import wheelroute.decision.Outcome;
import wheelroute.units.TimeUnits;

/** Maps codes, words and times of wire messages to the types and units of this program. */
final class WireMapping {
    private WireMapping() {}

    /**
     * Returns the outcome for a value of the field {@code rc}, which holds status codes of HTTP and
     * of common proxies.
     */
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

    /** Returns the state for a value of the field {@code readiness}; null for an unknown word. */
    static Endpoint.State endpointState(String word) {
        return switch (word) {
            case "active" -> Endpoint.State.READY;
            case "leaving" -> Endpoint.State.DRAINING;
            case "left" -> Endpoint.State.REMOVED;
            default -> null;
        };
    }

    /** Converts whole microseconds of a wire field to seconds. */
    static double seconds(long micros) {
        return micros / TimeUnits.MICROS_PER_SECOND;
    }

    /** Converts microseconds of a wire field to seconds. */
    static double seconds(double micros) {
        return micros / TimeUnits.MICROS_PER_SECOND;
    }

    /** Converts seconds to microseconds for a wire field, rounded to a whole number. */
    static long micros(double seconds) {
        return Math.round(seconds * TimeUnits.MICROS_PER_SECOND);
    }
}
