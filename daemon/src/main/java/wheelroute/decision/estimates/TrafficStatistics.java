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

    /** Work times slots of a request: what a worker's capacity is counted in. */
    private final SampleWindow loads = new SampleWindow(SAMPLE_COUNT);

    private final Map<Ids.Tenant, SampleWindow> tenants = new HashMap<>();

    /** Attempts after an error elsewhere: 1 for those that failed too. */
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
    public void record(double now, TrackedRequest request, boolean tenantHasQuota) {
        arrivals.add(now, request.work(), request.value());
        loads.add(now, request.work() * request.slots(), 0);
        if (tenantHasQuota) {
            tenants.computeIfAbsent(
                            request.request().tenant(), tenant -> new SampleWindow(SAMPLE_COUNT))
                    .add(now, 1, 0);
        }
    }

    /** Works out the means, for the choice that follows. */
    void refreshMeans() {
        meanWork = arrivals.meanOfFirst(STANDARD_WORK);
        meanValue = arrivals.meanOfSecond();
        meanPrice = arrivals.meanOfProduct();
    }

    /** Mean work of a request as of the last refresh, in seconds on a standard core. */
    double meanWork() {
        return meanWork;
    }

    /** Mean priority weight as of the last refresh. */
    public double meanValue() {
        return meanValue;
    }

    /**
     * Mean of work times priority weight as of the last refresh: the unit of the settings' prices.
     */
    public double meanPrice() {
        return meanPrice;
    }

    /** Mean work times slots of a request. */
    public double meanLoad() {
        return loads.meanOfFirst(STANDARD_WORK);
    }

    /** Requests a second. */
    public double rate(double now) {
        return arrivals.rate(now);
    }

    /** Work a second. */
    public double workRate(double now) {
        return arrivals.rateOfFirst(now);
    }

    /** Infinite before the first request. */
    public double firstAcceptedAt() {
        return firstAcceptedAt;
    }

    /** Tenants with a quota that have sent anything. */
    public Set<Ids.Tenant> tenants() {
        return tenants.keySet();
    }

    /** Requests a second of one of {@link #tenants}. */
    public double rate(Ids.Tenant tenant, double now) {
        return tenants.get(tenant).rate(now);
    }

    /** How a retry after an error elsewhere went. */
    void recordRetry(double now, boolean failed) {
        retryFailures.add(now, failed ? 1 : 0, 0);
    }

    /** Returns the number of retries after an error elsewhere since this time. */
    public int retriesSince(double time) {
        return retryFailures.countSince(time);
    }

    /** Returns how many of those retries failed as well. */
    public double failedRetriesSince(double time) {
        return retryFailures.sumOfFirstSince(time);
    }
}
