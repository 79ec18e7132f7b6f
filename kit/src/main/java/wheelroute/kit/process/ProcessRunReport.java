package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.MetricNames;
import wheelroute.kit.scenario.Scenario;

/**
 * Creates the report of a run of real processes from its measurements.
 *
 * @param lag delays of timers and of the dispatchers' threads on this machine
 */
record ProcessRunReport(
        ProcessRun.Options options,
        RunEnvironment environment,
        MembershipCheck membership,
        RelayLatency.RoundTrips relayLatency,
        Report.MachineLag lag) {
    /** Value of the clock in reports of runs in real time. */
    private static final String CLOCK_NAME = "real";

    private static final double PERCENT = 100;

    /**
     * Creates the report. Must be called on the event loop's thread.
     *
     * @param isPartial whether the run was stopped early
     * @throws RunStoppedException if no request was sent
     */
    Report create(boolean isPartial) throws RunStoppedException {
        if (environment.recorder.tally().requestCount() == 0) {
            throw new RunStoppedException("the run was stopped before any request was sent");
        }
        environment.auditor.finish();
        Scenario scenario = options.scenario();
        Report.Run run =
                new Report.Run(
                        scenario.name(),
                        scenario.title(),
                        CLOCK_NAME,
                        options.variantName(),
                        options.seed(),
                        options.seconds(),
                        scenario.workerCount(),
                        scenario.dispatcherCount());
        return Report.of(
                run,
                environment.recorder,
                environment.auditor,
                environment.cluster,
                lag,
                new Report.Measurements(metrics(), notes()),
                isPartial);
    }

    private Map<String, Double> metrics() {
        MetricsAuditor metrics = environment.metricsAuditor;
        Map<String, Double> values = new LinkedHashMap<>();
        values.put(
                MetricNames.MAX_DISCOVERY_CALLS,
                (double) environment.discoveryCalls.maxPerSecond());
        values.put(MetricNames.MISMATCHED_METRICS, metrics.mismatchFraction());
        values.put(MetricNames.ADMIN_CALL_TIMEOUTS, metrics.lateCallFraction());
        values.put(
                MetricNames.FAILED_REPLACEMENTS, (double) environment.fleet.failedReplacements());
        values.put(MetricNames.PEERS_NOT_CONVERGED, (double) membership.mismatches().size());
        return values;
    }

    private List<String> notes() {
        MetricsAuditor metrics = environment.metricsAuditor;
        List<String> notes = new ArrayList<>();
        notes.add(
                String.format(
                        Locale.ROOT,
                        "discovery calls: %d, at most %d within one second",
                        environment.discoveryCalls.total(),
                        environment.discoveryCalls.maxPerSecond()));
        notes.add(
                String.format(
                        Locale.ROOT,
                        "metrics: %d values checked, %.2f%% mismatches; admin calls timed out:"
                                + " %.2f%%",
                        metrics.checkCount(),
                        PERCENT * metrics.mismatchFraction(),
                        PERCENT * metrics.lateCallFraction()));
        metrics.mismatches().forEach(line -> notes.add("  " + line));
        notes.addAll(membership.mismatches());
        Fleet fleet = environment.fleet;
        if (fleet.replacements() > 0) {
            notes.add(
                    "process replacements: "
                            + fleet.replacements()
                            + " started, "
                            + fleet.failedReplacements()
                            + " not completed in time");
        }
        if (environment.links.areRelayed()) {
            notes.add(
                    String.format(
                            Locale.ROOT,
                            "round trip through a relay: %.2f ms at p99, direct: %.2f ms",
                            MILLIS_PER_SECOND * relayLatency.relayedSeconds(),
                            MILLIS_PER_SECOND * relayLatency.directSeconds()));
        }
        return notes;
    }
}
