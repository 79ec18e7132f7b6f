package wheelroute.kit.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Counts the requests of a run by result, in total, by request class, by tenant and over time. */
public final class Tally {
    /** The maximum number of points in a series, which is as many as a plot can show. */
    private static final int MAX_SERIES_POINTS = 600;

    private static final double MIN_INTERVAL_SECONDS = 1;

    /**
     * The ratio of the requests above a point of the latency distribution to those above the last.
     */
    private static final double DISTRIBUTION_TAIL_RATIO = 0.8;

    private static final double MIN_DISTRIBUTION_TAIL = 1e-5;

    private final Scenario scenario;
    private final double sampleIntervalSeconds;
    private final OutcomeCounter all = new OutcomeCounter();
    private final Map<String, OutcomeCounter> requestClasses = new LinkedHashMap<>();
    private final Map<String, OutcomeCounter> tenants = new LinkedHashMap<>();
    private final double[] requestCounts;
    private final double[] valueRequested;
    private final double[] valueEarned;
    private final double[] attemptCounts;

    /** The number of attempts at each worker, by worker number, for each sample. */
    private final List<double[]> queueSamples = new ArrayList<>();

    private double startAt;

    /**
     * Creates an empty tally.
     *
     * @param seconds for how long requests arrive
     */
    public Tally(Scenario scenario, double seconds) {
        this.scenario = scenario;
        sampleIntervalSeconds =
                Math.max(MIN_INTERVAL_SECONDS, Math.ceil(seconds / MAX_SERIES_POINTS));
        int points = (int) Math.ceil(seconds / sampleIntervalSeconds);
        requestCounts = new double[points];
        valueRequested = new double[points];
        valueEarned = new double[points];
        attemptCounts = new double[points];
        scenario.requestClasses()
                .forEach(each -> requestClasses.put(each.name(), new OutcomeCounter()));
        scenario.tenants().forEach(tenant -> tenants.put(tenant.name(), new OutcomeCounter()));
    }

    void startAt(double time) {
        startAt = time;
    }

    /** Returns the interval at which the workers' queues are sampled. */
    public double sampleIntervalSeconds() {
        return sampleIntervalSeconds;
    }

    /** Counts a request of a client, at the time at which the load places the request. */
    public void onRequest(ClientRequest request) {
        countersOf(request).forEach(OutcomeCounter::onRequest);
        requestCounts[point(request.sendAt())]++;
    }

    private List<OutcomeCounter> countersOf(ClientRequest request) {
        OutcomeCounter requestClass = requestClasses.get(request.requestClass().name());
        OutcomeCounter tenant = tenants.get(request.tenant().name());
        return tenant == null ? List.of(all, requestClass) : List.of(all, requestClass, tenant);
    }

    private int point(double seconds) {
        return (int)
                Math.max(0, Math.min(requestCounts.length - 1, seconds / sampleIntervalSeconds));
    }

    /**
     * Counts the end of a client's request.
     *
     * @param latencySeconds the time since the load placed the request
     */
    public void onFinished(ClientRequest request, Clients.Result result, double latencySeconds) {
        countersOf(request).forEach(counter -> counter.onFinished(request, result, latencySeconds));
        if (result != Clients.Result.CANCELLED) {
            int point = point(request.sendAt());
            valueRequested[point] += request.requestClass().priorityWeight();
            valueEarned[point] += OutcomeCounter.earnedValue(request, result);
        }
    }

    /** Counts an attempt at a worker, at the given time of the run's clock. */
    public void onAttempt(double now) {
        attemptCounts[point(now - startAt)]++;
    }

    /** Records the number of attempts at each worker, unless the series is full. */
    public void sample(ClusterModel cluster) {
        if (queueSamples.size() < requestCounts.length) {
            double[] sample = new double[cluster.workers.size()];
            for (WorkerModel worker : cluster.workers) {
                sample[worker.number] = worker.queuedCount() + worker.runningCount();
            }
            queueSamples.add(sample);
        }
    }

    /** Returns the number of requests counted so far. */
    public long requestCount() {
        return all.requestCount();
    }

    Report.Row total() {
        return all.row("all");
    }

    List<Report.Row> requestClassRows() {
        return rows(requestClasses);
    }

    List<Report.Row> tenantRows() {
        return rows(tenants);
    }

    private static List<Report.Row> rows(Map<String, OutcomeCounter> counters) {
        return counters.entrySet().stream()
                .map(entry -> entry.getValue().row(entry.getKey()))
                .toList();
    }

    Report.Series series(ClusterModel cluster) {
        int points = requestCounts.length;
        double[] times = new double[points];
        double[] service = new double[points];
        double[] requestRates = new double[points];
        double[] attemptRates = new double[points];
        for (int i = 0; i < points; i++) {
            times[i] = i * sampleIntervalSeconds;
            requestRates[i] = requestCounts[i] / sampleIntervalSeconds;
            attemptRates[i] = attemptCounts[i] / sampleIntervalSeconds;
            service[i] = valueRequested[i] > 0 ? valueEarned[i] / valueRequested[i] : Double.NaN;
        }
        Map<String, double[]> queues = new LinkedHashMap<>();
        for (Scenario.WorkerGroup group : scenario.groups()) {
            addQueues(group, cluster, queues);
        }
        return new Report.Series(times, requestRates, attemptRates, service, queues);
    }

    private void addQueues(
            Scenario.WorkerGroup group, ClusterModel cluster, Map<String, double[]> queues) {
        int points = requestCounts.length;
        double[] mean = new double[points];
        double[] max = new double[points];
        for (int i = 0; i < points && i < queueSamples.size(); i++) {
            double[] sample = queueSamples.get(i);
            for (WorkerModel worker : cluster.workers) {
                if (worker.group == group) {
                    mean[i] += sample[worker.number] / group.count();
                    max[i] = Math.max(max[i], sample[worker.number]);
                }
            }
        }
        queues.put(group.name() + " mean", mean);
        queues.put(group.name() + " most", max);
    }

    /**
     * Returns points of the latency distribution, each a fraction of successful requests and
     * seconds.
     */
    List<double[]> distribution() {
        List<double[]> points = new ArrayList<>();
        double tail = 1;
        while (tail > MIN_DISTRIBUTION_TAIL && all.latencyCount() * tail > 1) {
            points.add(new double[] {1 - tail, all.latencySecondsAt(100 * (1 - tail))});
            tail *= DISTRIBUTION_TAIL_RATIO;
        }
        return points;
    }
}
