package wheelroute.kit.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Counts as a run goes on: by request class, by tenant, over time. */
public final class Tally {
    /** Latencies are kept to a tenth of a percent, up to a day. */
    private static final long MAX_MICROS = 86_400_000_000L;

    private static final int DIGITS = 3;
    private static final double MICROS = 1e6;

    /** Points of a plot: more cannot be told apart. */
    private static final int MAX_POINTS = 600;

    /** One line of a report while it grows. */
    private static final class OutcomeCounter {
        final long[] results = new long[Clients.Result.values().length];
        final Histogram latencies = new Histogram(MAX_MICROS, DIGITS);
        long requestCount;
        double valueRequested;
        double valueEarned;

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

        private long count(Clients.Result result) {
            return results[result.ordinal()];
        }

        private double percentile(double part) {
            return latencies.getTotalCount() == 0
                    ? Double.NaN
                    : latencies.getValueAtPercentile(part) / MICROS;
        }
    }

    private final Scenario scenario;
    private double start;
    private final double step;
    private final OutcomeCounter all = new OutcomeCounter();
    private final Map<String, OutcomeCounter> requestClasses = new LinkedHashMap<>();
    private final Map<String, OutcomeCounter> tenants = new LinkedHashMap<>();
    private final double[] requestCounts;
    private final double[] valueRequested;
    private final double[] valueEarned;
    private final double[] attemptCounts;
    private final List<double[]> queues = new ArrayList<>();

    /** Makes an empty tally of a run that lasts so many seconds. */
    public Tally(Scenario scenario, double seconds) {
        this.scenario = scenario;
        step = Math.max(1, Math.ceil(seconds / MAX_POINTS));
        int points = (int) Math.ceil(seconds / step);
        requestCounts = new double[points];
        valueRequested = new double[points];
        valueEarned = new double[points];
        attemptCounts = new double[points];
        scenario.requestClasses()
                .forEach(
                        requestClass ->
                                requestClasses.put(requestClass.name(), new OutcomeCounter()));
        scenario.tenants().forEach(tenant -> tenants.put(tenant.name(), new OutcomeCounter()));
    }

    void startAt(double time) {
        start = time;
    }

    /** Seconds from one sample of the queues to the next. */
    public double step() {
        return step;
    }

    /** Counts a request of a client. */
    public void onRequest(ClientRequest request) {
        all.requestCount++;
        requestClasses.get(request.requestClass().name()).requestCount++;
        if (tenants.containsKey(request.tenant().name())) {
            tenants.get(request.tenant().name()).requestCount++;
        }
        requestCounts[point(request.sendAt())]++;
    }

    private int point(double at) {
        return (int) Math.max(0, Math.min(requestCounts.length - 1, at / step));
    }

    /**
     * Counts the end of a client's request.
     *
     * @param latency in seconds
     */
    public void onFinished(ClientRequest request, Clients.Result result, double latency) {
        onFinished(all, request, result, latency);
        onFinished(requestClasses.get(request.requestClass().name()), request, result, latency);
        if (tenants.containsKey(request.tenant().name())) {
            onFinished(tenants.get(request.tenant().name()), request, result, latency);
        }
        if (result != Clients.Result.CANCELLED) {
            valueRequested[point(request.sendAt())] += request.requestClass().priorityWeight();
            valueEarned[point(request.sendAt())] += earned(request, result);
        }
    }

    private static void onFinished(
            OutcomeCounter line, ClientRequest request, Clients.Result result, double latency) {
        line.results[result.ordinal()]++;
        if (result == Clients.Result.CANCELLED) {
            return;
        }
        line.valueRequested += request.requestClass().priorityWeight();
        line.valueEarned += earned(request, result);
        if (result == Clients.Result.IN_TIME || result == Clients.Result.LATE) {
            line.latencies.recordValue(Math.min(MAX_MICROS, Math.round(latency * MICROS)));
        }
    }

    private static double earned(ClientRequest request, Clients.Result result) {
        return switch (result) {
            case IN_TIME -> request.requestClass().priorityWeight();
            case LATE ->
                    request.requestClass().priorityWeight() * request.requestClass().lateValue();
            default -> 0;
        };
    }

    /** Counts an attempt at a worker. */
    public void onAttempt(double now) {
        attemptCounts[point(now - start)]++;
    }

    /** How many jobs each worker holds now. */
    public void sample(ClusterModel cluster) {
        if (queues.size() < requestCounts.length) {
            double[] sample = new double[cluster.workers.size()];
            for (WorkerModel worker : cluster.workers) {
                sample[worker.number] = worker.waiting() + worker.running();
            }
            queues.add(sample);
        }
    }

    /** Requests counted so far. */
    public long requestCount() {
        return all.requestCount;
    }

    Report.Row total() {
        return all.row("all");
    }

    List<Report.Row> requestClassRows() {
        return requestClasses.entrySet().stream().map(e -> e.getValue().row(e.getKey())).toList();
    }

    List<Report.Row> tenantRows() {
        return tenants.entrySet().stream().map(e -> e.getValue().row(e.getKey())).toList();
    }

    Report.Series series(ClusterModel cluster) {
        int points = requestCounts.length;
        double[] times = new double[points];
        double[] service = new double[points];
        double[] rate = new double[points];
        double[] sent = new double[points];
        for (int i = 0; i < points; i++) {
            times[i] = i * step;
            rate[i] = requestCounts[i] / step;
            sent[i] = attemptCounts[i] / step;
            service[i] = valueRequested[i] > 0 ? valueEarned[i] / valueRequested[i] : Double.NaN;
        }
        Map<String, double[]> byGroup = new LinkedHashMap<>();
        for (Scenario.WorkerGroup group : scenario.groups()) {
            double[] mean = new double[points];
            double[] most = new double[points];
            for (int i = 0; i < points && i < queues.size(); i++) {
                for (WorkerModel worker : cluster.workers) {
                    if (worker.group == group) {
                        mean[i] += queues.get(i)[worker.number] / group.count();
                        most[i] = Math.max(most[i], queues.get(i)[worker.number]);
                    }
                }
            }
            byGroup.put(group.name() + " mean", mean);
            byGroup.put(group.name() + " most", most);
        }
        return new Report.Series(times, rate, sent, service, byGroup);
    }

    /** Latency in seconds at each of these parts of all that was fulfilled, for the plot. */
    List<double[]> distribution() {
        List<double[]> curve = new ArrayList<>();
        double missing = 1;
        while (missing > 1e-5 && all.latencies.getTotalCount() * missing > 1) {
            curve.add(
                    new double[] {
                        1 - missing,
                        all.latencies.getValueAtPercentile(100 * (1 - missing)) / MICROS
                    });
            missing *= 0.8;
        }
        return curve;
    }
}
