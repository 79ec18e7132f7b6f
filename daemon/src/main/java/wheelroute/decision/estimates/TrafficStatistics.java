package wheelroute.decision.estimates;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.Ids;
import wheelroute.decision.state.TrackedRequest;

/** What was measured of the requests that this dispatcher accepted. */
public final class TrafficStatistics {
    private static final int SAMPLE_COUNT = 64;
    private static final int RETRY_SAMPLE_COUNT = 8;
    private static final double STANDARD_WORK = 1;

    private final SampleWindow arrivals = new SampleWindow(SAMPLE_COUNT);

    /** Work times slots of each request, the unit of a worker's capacity. */
    private final SampleWindow loads = new SampleWindow(SAMPLE_COUNT);

    private final Map<Ids.Tenant, SampleWindow> tenants = new HashMap<>();

    /** Retries of requests that failed elsewhere: 1 for each that failed too, else 0. */
    private final SampleWindow retryFailures = new SampleWindow(RETRY_SAMPLE_COUNT);

    private double firstAcceptedAt = Double.POSITIVE_INFINITY;
    private double meanWork = STANDARD_WORK;
    private double meanValue = 1;
    private double meanPrice = 1;

    /** Records when the first request was accepted; later calls change nothing. */
    public void noteFirst(double now) {
        firstAcceptedAt = Math.min(firstAcceptedAt, now);
    }

    /** Records an accepted request, and its tenant where that has a quota. */
    public void record(TrackedRequest request, boolean tenantHasQuota) {
        double now = request.acceptedAt();
        arrivals.add(now, request.work(), request.value());
        loads.add(now, request.work() * request.slots(), 0);
        if (tenantHasQuota) {
            tenants.computeIfAbsent(
                            request.request().tenant(), tenant -> new SampleWindow(SAMPLE_COUNT))
                    .add(now, 1, 0);
        }
    }

    /** Computes the means, which then stay the same until the next choice of a worker. */
    void refreshMeans() {
        meanWork = arrivals.meanOfFirst(STANDARD_WORK);
        meanValue = arrivals.meanOfSecond();
        meanPrice = arrivals.meanOfProduct();
    }

    /** Returns the mean work of a request as of the last choice, in seconds on a standard core. */
    double meanWork() {
        return meanWork;
    }

    /** Returns the mean priority weight as of the last choice. */
    public double meanValue() {
        return meanValue;
    }

    /**
     * Returns the mean of work times priority weight as of the last choice, which is the unit of
     * the settings' prices.
     */
    public double meanPrice() {
        return meanPrice;
    }

    /** Returns the mean of work times slots of a request. */
    public double meanLoad() {
        return loads.meanOfFirst(STANDARD_WORK);
    }

    /** Returns the requests per second. */
    public double rate(double now) {
        return arrivals.rate(now);
    }

    /** Returns the work that arrives per second. */
    public double workRate(double now) {
        return arrivals.rateOfFirst(now);
    }

    /** Returns when the first request was accepted; infinite before. */
    public double firstAcceptedAt() {
        return firstAcceptedAt;
    }

    /** Returns the tenants with a quota that have sent any request. */
    public Set<Ids.Tenant> tenants() {
        return tenants.keySet();
    }

    /** Returns the requests per second of one of {@link #tenants}. */
    public double rate(Ids.Tenant tenant, double now) {
        return tenants.get(tenant).rate(now);
    }

    /** Records how a retry ended whose request had failed elsewhere before. */
    void recordRetry(double now, boolean failed) {
        retryFailures.add(now, failed ? 1 : 0, 0);
    }

    /** Returns the number of such retries since a time. */
    public int retriesSince(double time) {
        return retryFailures.countSince(time);
    }

    /** Returns how many of them failed. */
    public double failedRetriesSince(double time) {
        return retryFailures.sumOfFirstSince(time);
    }
}
