package wheelroute.kit.scale;

import static wheelroute.kit.scale.Estimate.formatNumber;
import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Generates the tables of the capacity page from a {@link CapacityModel}. */
final class CapacityTables {
    private static final double MB_PER_GB = 1e3;
    private static final double BYTES_PER_MB = 1e6;

    private static final double CHANGES_PER_FAILURE = 2;
    private static final double CHANGES_PER_RESTART = 3;

    // These are the limits of the membership protocol, see docs/design/peers.md.
    private static final int MAX_DATAGRAMS_PER_SECOND = 4;
    private static final int MAX_DATAGRAM_BYTES = 256;

    private static final String NOT_APPLICABLE = "-";

    private final CapacityModel model;
    private final ScaleResults results;
    private final DeploymentSize size;

    CapacityTables(CapacityModel model) {
        this.model = model;
        results = model.results();
        size = model.size();
    }

    /** Returns all tables as Markdown, by the names in the markers of the page. */
    Map<String, String> all() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("slopes", fits());
        tables.put("dispatcher", dispatcher());
        tables.put("machines", machines());
        tables.put("decision", decision());
        tables.put("list-service", discovery());
        tables.put("in-force", timeToInForce());
        tables.put("failures", failures());
        tables.put("workers", workers());
        tables.put("peers", peers());
        tables.put("hollow", inProcessDispatchers());
        return tables;
    }

    private String fits() {
        MarkdownTable table =
                new MarkdownTable("series", "against", "measured to", "at 0", "slope", "r²");
        for (LinearFit fit : results.fits().values()) {
            table.addRow(
                    "`" + fit.name() + "`, " + fit.yLabel(),
                    fit.xLabel(),
                    formatNumber(fit.maxX()),
                    new Estimate(fit.intercept(), fit.interceptError()).text(),
                    new Estimate(fit.slope(), fit.slopeError()).text(),
                    String.format(Locale.ROOT, "%.3f", fit.r2()));
        }
        String validity =
                results.invalidReason().isEmpty()
                        ? "valid, the background load was low enough."
                        : "NOT JUDGED, " + results.invalidReason() + ".";
        return "Measured on " + results.machine() + ": " + validity + "\n\n" + table.text();
    }

    private String dispatcher() {
        MarkdownTable table =
                new MarkdownTable(
                        "dispatchers",
                        "attempts/s, in flight",
                        "cores, idle",
                        "cores, at peak",
                        "of " + formatNumber(size.maxCores()),
                        "MB",
                        "of " + formatNumber(size.maxMemoryMb()),
                        "control, bytes/s",
                        "of " + formatNumber(size.maxControlBytesPerSecond()));
        for (double n : size.dispatchers()) {
            Estimate cores = model.cpuAtPeak(n);
            Estimate memoryMb = model.memoryMb(n);
            Estimate controlBytes = model.controlBytesPerSecond();
            table.addRow(
                    formatNumber(n),
                    formatNumber(size.attemptsPerSecond() / n)
                            + ", "
                            + formatNumber(size.attemptsInFlight() / n),
                    model.idleCpu().text(),
                    cores.text(),
                    cores.comparedTo(size.maxCores()),
                    memoryMb.text(),
                    memoryMb.comparedTo(size.maxMemoryMb()),
                    controlBytes.text(),
                    controlBytes.comparedTo(size.maxControlBytesPerSecond()));
        }
        return table.text();
    }

    private String machines() {
        MarkdownTable table =
                new MarkdownTable(
                        "dispatchers",
                        "cores in total, at peak",
                        "GB in total",
                        "machines by cores",
                        "machines by memory",
                        "of " + formatNumber(size.machines()));
        for (double n : size.dispatchers()) {
            Estimate cores = model.cpuAtPeak(n).times(n);
            Estimate memoryGb = model.memoryMb(n).times(n / MB_PER_GB);
            Estimate byCores = cores.times(1 / (size.machineCores() * size.usableCoreFraction()));
            Estimate byMemory = memoryGb.times(MB_PER_GB / size.machineMemoryMb());
            Estimate needed = byCores.value() > byMemory.value() ? byCores : byMemory;
            table.addRow(
                    formatNumber(n),
                    cores.text(),
                    memoryGb.text(),
                    byCores.text(),
                    byMemory.text(),
                    needed.comparedTo(size.machines()));
        }
        return table.text();
    }

    private String decision() {
        MarkdownTable table =
                new MarkdownTable(
                        "dispatchers",
                        "workers in its subset",
                        "dispatchers per worker",
                        "CPU ms per attempt",
                        "cores, at peak",
                        "of " + formatNumber(size.maxCores()));
        for (double n : size.dispatchers()) {
            double subset = model.subsetSize(n);
            addDecisionRow(table, n, subset, "", CapacityModel.subsetsPerWorker(n));
            addDecisionRow(table, n, size.workers(), " (all)", n);
        }
        return table.text();
    }

    private void addDecisionRow(
            MarkdownTable table,
            double dispatchers,
            double candidates,
            String note,
            double dispatchersPerWorker) {
        Estimate cpuSeconds = model.attemptCpu(candidates);
        Estimate cores = cpuSeconds.times(size.attemptsPerSecond() / dispatchers);
        table.addRow(
                formatNumber(dispatchers),
                formatNumber(candidates) + note,
                formatNumber(dispatchersPerWorker),
                cpuSeconds.times(MILLIS_PER_SECOND).text(),
                cores.text(),
                cores.comparedTo(size.maxCores()));
    }

    private String discovery() {
        MarkdownTable table =
                new MarkdownTable(
                        "dispatchers",
                        "calls/s",
                        "bytes/s, idle",
                        "complete lists if all restart, MB",
                        "after a partition of " + formatNumber(size.partitionSeconds()) + " s, MB",
                        "loss of a zone, MB");
        double missedChanges =
                Math.min(size.workers(), size.partitionSeconds() * size.changesPerSecond());
        for (double n : size.dispatchers()) {
            table.addRow(
                    formatNumber(n),
                    model.estimateAt(ScaleSeries.DISCOVERY_CALLS, n).text(),
                    model.controlBytesPerSecond().times(n).text(),
                    model.completeListBytes().times(n / BYTES_PER_MB).text(),
                    model.bytesPerEndpoint().times(missedChanges * n / BYTES_PER_MB).text(),
                    model.bytesPerEndpoint()
                            .times(size.workers() / size.zones() * n / BYTES_PER_MB)
                            .text());
        }
        return table.text();
    }

    private String timeToInForce() {
        MarkdownTable table =
                new MarkdownTable(
                        "dispatchers",
                        "p50, s",
                        "p99, s",
                        "max, s",
                        "of " + formatNumber(size.inForceSeconds()));
        for (double n : size.dispatchers()) {
            Estimate max = model.estimateAt(ScaleSeries.TIME_TO_IN_FORCE_MAX, n);
            table.addRow(
                    formatNumber(n),
                    model.estimateAt(ScaleSeries.TIME_TO_IN_FORCE_P50, n).text(),
                    model.estimateAt(ScaleSeries.TIME_TO_IN_FORCE_P99, n).text(),
                    max.text(),
                    max.comparedTo(size.inForceSeconds()));
        }
        return table.text();
    }

    private String failures() {
        MarkdownTable table =
                new MarkdownTable(
                        "failure", "endpoint changes", "CPU s per dispatcher", "s until in force");
        double changesPerSecond =
                (CHANGES_PER_FAILURE * size.failuresPerDay()
                                + CHANGES_PER_RESTART * size.restartsPerDay())
                        / DeploymentSize.SECONDS_PER_DAY;
        table.addRow(
                "machines on an ordinary day: 2 changes per failure, 3 per restart",
                formatNumber(changesPerSecond) + "/s",
                model.slope(ScaleSeries.CHANGES_CPU).times(changesPerSecond).text() + " per s",
                "as any change");
        addBatchRow(table, "a rack or a switch", size.rackWorkers());
        addBatchRow(table, "a zone, in one response", size.workers() / size.zones());
        addRestartRow(table, "until it listens for clients", ScaleSeries.TIME_TO_READY);
        addRestartRow(table, "until it has the complete list", ScaleSeries.TIME_TO_ENDPOINT_LIST);
        table.addRow(
                "restart of discovery under "
                        + formatNumber(results.fit(ScaleSeries.DISCOVERY_CALLS).maxX())
                        + " dispatchers, from its return",
                "1",
                NOT_APPLICABLE,
                formatNumber(results.metric(ScaleMetric.DISCOVERY_RECOVERY_SECONDS))
                        + " (measured once, "
                        + formatNumber(results.metric(ScaleMetric.DISCOVERY_RECOVERY_CALLS))
                        + " calls)");
        return table.text();
    }

    private void addBatchRow(MarkdownTable table, String failure, double changes) {
        table.addRow(
                failure,
                formatNumber(changes),
                model.estimateAt(ScaleSeries.BATCH_CPU, changes).text(),
                model.estimateAt(ScaleSeries.BATCH_TIME_TO_IN_FORCE, changes).text());
    }

    private void addRestartRow(MarkdownTable table, String until, ScaleSeries series) {
        table.addRow(
                "restart of a dispatcher, " + until,
                "complete list",
                NOT_APPLICABLE,
                model.estimateAt(series, size.workers()).text());
    }

    private String workers() {
        MarkdownTable table = new MarkdownTable("per worker", "figure");
        table.addRow("attempts in flight", formatNumber(size.attemptsInFlight() / size.workers()));
        table.addRow("attempts/s", formatNumber(size.attemptsPerSecond() / size.workers()));
        for (double n : size.dispatchers()) {
            table.addRow("dispatchers that may connect, of " + formatNumber(n), formatNumber(n));
        }
        return table.text();
    }

    private String peers() {
        MarkdownTable table =
                new MarkdownTable(
                        "dispatchers", "datagrams/s, in total", "bytes/s per dispatcher, at most");
        for (double n : size.dispatchers()) {
            // Each dispatcher receives as many datagrams as it sends.
            table.addRow(
                    formatNumber(n),
                    formatNumber(MAX_DATAGRAMS_PER_SECOND * n),
                    formatNumber(2 * MAX_DATAGRAMS_PER_SECOND * MAX_DATAGRAM_BYTES));
        }
        return table.text();
    }

    private String inProcessDispatchers() {
        MarkdownTable table = new MarkdownTable("seen by discovery", "process", "hollow");
        table.addRow(
                "calls/s",
                formatNumber(results.metric(ScaleMetric.PROCESS_CALLS_PER_SECOND)),
                formatNumber(results.metric(ScaleMetric.IN_PROCESS_CALLS_PER_SECOND)));
        table.addRow(
                "s until a change is in force, p50",
                formatNumber(results.metric(ScaleMetric.PROCESS_TIME_TO_IN_FORCE_P50_SECONDS)),
                formatNumber(results.metric(ScaleMetric.IN_PROCESS_TIME_TO_IN_FORCE_P50_SECONDS)));
        return table.text();
    }
}
