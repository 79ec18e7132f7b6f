package wheelroute.kit.report;

import static wheelroute.units.TimeUnits.MICROS_PER_SECOND;

import org.HdrHistogram.Histogram;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.Clients;
import wheelroute.kit.scenario.Scenario;

/** Counts a set of requests by result, and sums up their latencies and the value earned. */
final class OutcomeCounter {
    /** One day; longer latencies are recorded as this value. */
    private static final long MAX_LATENCY_MICROS = 86_400_000_000L;

    private static final int SIGNIFICANT_DIGITS = 3;
    private final long[] results = new long[Clients.Result.values().length];
    private final Histogram latencies = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private long requestCount;
    private double valueRequested;
    private double valueEarned;

    void onRequest() {
        requestCount++;
    }

    void onFinished(ClientRequest request, Clients.Result result, double latencySeconds) {
        results[result.ordinal()]++;
        if (result == Clients.Result.CANCELLED) {
            return;
        }
        valueRequested += request.requestClass().priorityWeight();
        valueEarned += earnedValue(request, result);
        if (result == Clients.Result.IN_TIME || result == Clients.Result.LATE) {
            long micros = Math.round(latencySeconds * MICROS_PER_SECOND);
            latencies.recordValue(Math.min(MAX_LATENCY_MICROS, micros));
        }
    }

    static double earnedValue(ClientRequest request, Clients.Result result) {
        Scenario.RequestClass requestClass = request.requestClass();
        return switch (result) {
            case IN_TIME -> requestClass.priorityWeight();
            case LATE -> requestClass.priorityWeight() * requestClass.lateValue();
            default -> 0;
        };
    }

    Report.Row row(String name) {
        return new Report.Row(
                name,
                requestCount,
                count(Clients.Result.IN_TIME),
                count(Clients.Result.LATE),
                count(Clients.Result.REJECTED),
                count(Clients.Result.FAILED),
                count(Clients.Result.UNANSWERED),
                count(Clients.Result.CANCELLED),
                valueRequested > 0 ? valueEarned / valueRequested : 1,
                percentile(50),
                percentile(99),
                percentile(99.9));
    }

    long requestCount() {
        return requestCount;
    }

    private long count(Clients.Result result) {
        return results[result.ordinal()];
    }

    private double percentile(double percent) {
        return latencyCount() == 0 ? Double.NaN : latencySecondsAt(percent);
    }

    long latencyCount() {
        return latencies.getTotalCount();
    }

    double latencySecondsAt(double percent) {
        return latencies.getValueAtPercentile(percent) / MICROS_PER_SECOND;
    }
}
