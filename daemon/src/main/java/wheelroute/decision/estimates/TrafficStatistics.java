package wheelroute.decision.estimates;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.Ids;
import wheelroute.decision.state.TrackedRequest;

/** Measurements of the requests that this dispatcher has accepted. */
public final class TrafficStatistics {
    private static final int SAMPLE_COUNT = 64;
    private static final int RETRY_SAMPLE_COUNT = 8;
    private static final double STANDARD_WORK = 1;

    /** The work and the priority weight of each request. */
    private final SampleWindow arrivals = new SampleWindow(SAMPLE_COUNT);

    /** The work times slots of each request, in the unit of a worker's capacity. */
    private final SampleWindow loads = new SampleWindow(SAMPLE_COUNT);

    /** One sample for each request, by tenant; only for tenants that have a quota. */
    private final Map<Ids.Tenant, SampleWindow> tenants = new HashMap<>();

    /**
     * One sample for each retry of a request that failed elsewhere: 1 if the retry failed, else 0.
     */
    private final SampleWindow retryFailures = new SampleWindow(RETRY_SAMPLE_COUNT);

    private double firstAcceptedAt = Double.POSITIVE_INFINITY;
    private double meanWork = STANDARD_WORK;
    private double meanPriorityWeight = 1;
    private double meanWeightedWork = 1;

    /** Records the time at which the first request was accepted; later calls have no effect. */
    public void recordFirstRequest(double now) {
        firstAcceptedAt = Math.min(firstAcceptedAt, now);
    }

    /** Records an accepted request, also for its tenant if the tenant has a quota. */
    public void record(TrackedRequest request, boolean tenantHasQuota) {
        double now = request.acceptedAt();
        arrivals.add(now, request.work(), request.priorityWeight());
        loads.add(now, request.work() * request.slots());
        if (tenantHasQuota) {
            tenants.computeIfAbsent(
                            request.request().tenant(), tenant -> new SampleWindow(SAMPLE_COUNT))
                    .add(now, 1);
        }
    }

    /** Computes the means, which stay the same until the next choice of a worker. */
    void refreshMeans() {
        meanWork = arrivals.meanOfFirst(STANDARD_WORK);
        meanPriorityWeight = arrivals.meanOfSecond();
        meanWeightedWork = arrivals.meanOfProduct();
    }

    /**
     * Returns the mean work of a request as of the last choice of a worker, in seconds on a
     * standard core.
     */
    double meanWork() {
        return meanWork;
    }

    /** Returns the mean priority weight of a request as of the last choice of a worker. */
    public double meanPriorityWeight() {
        return meanPriorityWeight;
    }

    /**
     * Returns the mean of work times priority weight of a request as of the last choice of a
     * worker. This is the unit of the prices in the settings.
     */
    public double meanWeightedWork() {
        return meanWeightedWork;
    }

    /** Returns the mean of work times slots of the latest requests. */
    public double meanLoad() {
        return loads.meanOfFirst(STANDARD_WORK);
    }

    /** Returns the rate of recorded requests, per second. */
    public double rate(double now) {
        return arrivals.rate(now);
    }

    /** Returns the work of recorded requests per second, in seconds on a standard core. */
    public double workRate(double now) {
        return arrivals.rateOfFirst(now);
    }

    /**
     * Returns the time at which the first request was accepted, in seconds; infinite before that.
     */
    public double firstAcceptedAt() {
        return firstAcceptedAt;
    }

    /** Returns the tenants that have a quota and have sent at least one request. */
    public Set<Ids.Tenant> tenants() {
        return tenants.keySet();
    }

    /** Returns the rate of requests, per second, of a tenant that is one of {@link #tenants}. */
    public double rate(Ids.Tenant tenant, double now) {
        return tenants.get(tenant).rate(now);
    }

    /** Records whether a retry failed whose request had failed elsewhere before. */
    void recordRetry(double now, boolean failed) {
        retryFailures.add(now, failed ? 1 : 0);
    }

    /** Returns the number of retries of failed requests that have ended since a time. */
    public int retriesSince(double time) {
        return retryFailures.countSince(time);
    }

    /** Returns how many of the retries counted by {@link #retriesSince} have failed. */
    public double failedRetriesSince(double time) {
        return retryFailures.sumOfFirstSince(time);
    }
}
