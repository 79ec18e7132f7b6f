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

/** Counts as a run goes on: by offering, by tenant, over time. */
public final class Tally {
    /** Latencies are kept to a tenth of a percent, up to a day. */
    private static final long MOST_MICROS = 86_400_000_000L;

    private static final int DIGITS = 3;
    private static final double MICROS = 1e6;

    /** Points of a plot: more cannot be told apart. */
    private static final int MOST_POINTS = 600;

    /** One line of a report while it grows. */
    private static final class OutcomeCounter {
        final long[] results = new long[Clients.Result.values().length];
        final Histogram latencies = new Histogram(MOST_MICROS, DIGITS);
        long asked;
        double valueAsked;
        double valueEarned;

        Report.Row row(String name) {
            return new Report.Row(
                    name,
                    asked,
                    count(Clients.Result.IN_TIME),
                    count(Clients.Result.LATE),
                    count(Clients.Result.BOUNCED),
                    count(Clients.Result.SCRAPPED),
                    count(Clients.Result.UNANSWERED),
                    count(Clients.Result.LEFT),
                    valueAsked > 0 ? valueEarned / valueAsked : 1,
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
    private final Map<String, OutcomeCounter> offerings = new LinkedHashMap<>();
    private final Map<String, OutcomeCounter> tenants = new LinkedHashMap<>();
    private final double[] asked;
    private final double[] valueAsked;
    private final double[] valueEarned;
    private final double[] launches;
    private final List<double[]> queues = new ArrayList<>();

    public Tally(Scenario scenario, double seconds) {
        this.scenario = scenario;
        step = Math.max(1, Math.ceil(seconds / MOST_POINTS));
        int points = (int) Math.ceil(seconds / step);
        asked = new double[points];
        valueAsked = new double[points];
        valueEarned = new double[points];
        launches = new double[points];
        scenario.offerings()
                .forEach(offering -> offerings.put(offering.name(), new OutcomeCounter()));
        scenario.tenants().forEach(tenant -> tenants.put(tenant.name(), new OutcomeCounter()));
    }

    void beginsAt(double time) {
        start = time;
    }

    /** Seconds from one sample of the queues to the next. */
    public double step() {
        return step;
    }

    public void asked(ClientRequest ask) {
        all.asked++;
        offerings.get(ask.offering().name()).asked++;
        if (tenants.containsKey(ask.tenant().name())) {
            tenants.get(ask.tenant().name()).asked++;
        }
        asked[point(ask.at())]++;
    }

    private int point(double at) {
        return (int) Math.max(0, Math.min(asked.length - 1, at / step));
    }

    public void finished(ClientRequest ask, Clients.Result result, double latency) {
        finished(all, ask, result, latency);
        finished(offerings.get(ask.offering().name()), ask, result, latency);
        if (tenants.containsKey(ask.tenant().name())) {
            finished(tenants.get(ask.tenant().name()), ask, result, latency);
        }
        if (result != Clients.Result.LEFT) {
            valueAsked[point(ask.at())] += ask.offering().value();
            valueEarned[point(ask.at())] += earned(ask, result);
        }
    }

    private static void finished(
            OutcomeCounter line, ClientRequest ask, Clients.Result result, double latency) {
        line.results[result.ordinal()]++;
        if (result == Clients.Result.LEFT) {
            return;
        }
        line.valueAsked += ask.offering().value();
        line.valueEarned += earned(ask, result);
        if (result == Clients.Result.IN_TIME || result == Clients.Result.LATE) {
            line.latencies.recordValue(Math.min(MOST_MICROS, Math.round(latency * MICROS)));
        }
    }

    private static double earned(ClientRequest ask, Clients.Result result) {
        return switch (result) {
            case IN_TIME -> ask.offering().value();
            case LATE -> ask.offering().value() * ask.offering().lateValue();
            default -> 0;
        };
    }

    public void launched(double now) {
        launches[point(now - start)]++;
    }

    /** How many jobs each worker holds now. */
    public void sample(ClusterModel world) {
        if (queues.size() < asked.length) {
            double[] sample = new double[world.workers.size()];
            for (WorkerModel worker : world.workers) {
                sample[worker.number] = worker.waiting() + worker.running();
            }
            queues.add(sample);
        }
    }

    public long asks() {
        return all.asked;
    }

    Report.Row total() {
        return all.row("all");
    }

    List<Report.Row> offeringRows() {
        return offerings.entrySet().stream().map(e -> e.getValue().row(e.getKey())).toList();
    }

    List<Report.Row> tenantRows() {
        return tenants.entrySet().stream().map(e -> e.getValue().row(e.getKey())).toList();
    }

    Report.Series series(ClusterModel world) {
        int points = asked.length;
        double[] times = new double[points];
        double[] service = new double[points];
        double[] rate = new double[points];
        double[] sent = new double[points];
        for (int i = 0; i < points; i++) {
            times[i] = i * step;
            rate[i] = asked[i] / step;
            sent[i] = launches[i] / step;
            service[i] = valueAsked[i] > 0 ? valueEarned[i] / valueAsked[i] : Double.NaN;
        }
        Map<String, double[]> byGroup = new LinkedHashMap<>();
        for (Scenario.WorkerGroup group : scenario.groups()) {
            double[] mean = new double[points];
            double[] most = new double[points];
            for (int i = 0; i < points && i < queues.size(); i++) {
                for (WorkerModel worker : world.workers) {
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
