package wheelroute.kit.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.Rule;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.scenario.MetricNames;
import wheelroute.kit.scenario.Scenario;

/**
 * The result of one run. On the virtual clock, the same seed gives the same report on every
 * machine.
 *
 * @param metrics values by the names in {@link MetricNames}
 * @param breachCounts the number of all breaches by rule
 * @param breaches the first breaches only
 * @param distribution points of the latency distribution, each a fraction of requests and seconds
 * @param notes further results as lines of text
 * @param partial whether the run was stopped before its end
 */
public record Report(
        Run run,
        Row total,
        List<Row> requestClasses,
        List<Row> tenants,
        Map<String, Double> metrics,
        List<Verdict> verdicts,
        Map<Rule, Integer> breachCounts,
        List<Auditor.Breach> breaches,
        Series series,
        List<double[]> distribution,
        List<FaultPeriod> faultPeriods,
        MachineLag lag,
        List<String> notes,
        boolean partial) {
    /** The 99th percentile of a machine's lag above which a run is not judged. */
    public static final double MAX_P99_LAG_SECONDS = 0.05;

    /** A single lag of the machine above this value may be the cause of a late response. */
    public static final double MAX_SINGLE_LAG_SECONDS = 0.1;

    /**
     * The scenario, options and size of a run.
     *
     * @param durationSeconds for how long requests arrive
     */
    public record Run(
            String scenario,
            String title,
            String clock,
            String variant,
            long seed,
            double durationSeconds,
            int workers,
            int dispatchers) {}

    /**
     * Counts of requests by result.
     *
     * @param service the value earned as a fraction of the value requested; 1 if none was requested
     * @param p50Seconds the median latency; like the other percentiles NaN if no request succeeded
     */
    public record Row(
            String name,
            long requested,
            long inTime,
            long late,
            long rejected,
            long failed,
            long unanswered,
            long cancelled,
            double service,
            double p50Seconds,
            double p99Seconds,
            double p999Seconds) {}

    /** An expectation of the scenario with the measured value, and whether the value meets it. */
    public record Verdict(String metric, double min, double max, double value, boolean holds) {
        static Verdict of(Scenario.Expectation expected, double value) {
            boolean holds = value >= expected.min() && value <= expected.max();
            return new Verdict(expected.metric(), expected.min(), expected.max(), value, holds);
        }

        /** Returns the verdict as a line of text. */
        public String text() {
            return metric
                    + (Double.isInfinite(min) ? "" : " at least " + min)
                    + (Double.isInfinite(max) ? "" : " at most " + max)
                    + ": "
                    + String.format(Locale.ROOT, "%.4f", value)
                    + (holds ? "" : "  DOES NOT HOLD");
        }
    }

    /**
     * Rates per second and service over time.
     *
     * @param queues the mean and the maximum number of attempts at a worker, by worker group
     */
    public record Series(
            double[] timesSeconds,
            double[] requested,
            double[] attempted,
            double[] service,
            Map<String, double[]> queues) {}

    /** The period of a fault, in seconds from the start of the run. */
    public record FaultPeriod(String kind, double startSeconds, double endSeconds) {}

    /**
     * The delays with which the machine ran the kit and the dispatchers; zeros on the virtual
     * clock.
     *
     * @param timerP99Seconds the 99th percentile of the lag of the kit's own timers
     * @param coreWaitP99Seconds the 99th percentile of the time in each tenth of a second for which
     *     a dispatcher that was ready to run waited for a core
     */
    public record MachineLag(
            double timerP99Seconds,
            double timerMaxSeconds,
            double coreWaitP99Seconds,
            double coreWaitMaxSeconds) {
        public static final MachineLag NONE = new MachineLag(0, 0, 0, 0);

        boolean isEverAbove(double seconds) {
            return Math.max(timerMaxSeconds, coreWaitMaxSeconds) > seconds;
        }
    }

    /** The metrics by name, and lines of text, that only some kinds of runs can provide. */
    public record Measurements(Map<String, Double> metrics, List<String> notes) {
        public static final Measurements NONE = new Measurements(Map.of(), List.of());
    }

    /** The judgement of a run; the names in lower case are values in JSON reports. */
    public enum Judgement {
        HOLDS,
        DOES_NOT_HOLD,
        /** The machine was too busy for the run to be judged. */
        NOT_JUDGED,
        /** The run was stopped before its end. */
        PARTIAL
    }

    /** Creates the report of a run that has ended. */
    public static Report of(
            Run run,
            Recorder recorder,
            Auditor auditor,
            ClusterModel cluster,
            MachineLag lag,
            Measurements measurements,
            boolean partial) {
        Tally tally = recorder.tally();
        Map<String, Double> metrics = metrics(recorder, auditor);
        metrics.putAll(measurements.metrics());
        return new Report(
                run,
                tally.total(),
                tally.requestClassRows(),
                tally.tenantRows(),
                metrics,
                verdicts(cluster.scenario, metrics),
                breachCounts(auditor),
                auditor.breaches(),
                tally.series(cluster),
                tally.distribution(),
                faultPeriods(cluster),
                lag,
                measurements.notes(),
                partial);
    }

    private static Map<String, Double> metrics(Recorder recorder, Auditor auditor) {
        Tally tally = recorder.tally();
        Row total = tally.total();
        double countedRequests = Math.max(1, total.requested() - total.cancelled());
        Map<String, Double> metrics = new LinkedHashMap<>();
        metrics.put(MetricNames.SERVICE, total.service());
        metrics.put(MetricNames.IN_TIME, total.inTime() / countedRequests);
        metrics.put(MetricNames.REJECTED, total.rejected() / countedRequests);
        metrics.put(MetricNames.FAILED, total.failed() / countedRequests);
        metrics.put(MetricNames.UNANSWERED, total.unanswered() / countedRequests);
        metrics.put(MetricNames.BREACHES, (double) auditor.total());
        metrics.put(MetricNames.ATTEMPTS, recorder.attemptsPerRequest());
        metrics.put(MetricNames.P50, total.p50Seconds());
        metrics.put(MetricNames.P99, total.p99Seconds());
        metrics.put(MetricNames.P999, total.p999Seconds());
        tally.requestClassRows()
                .forEach(row -> metrics.put(MetricNames.REQUEST_CLASS + row.name(), row.service()));
        tally.tenantRows()
                .forEach(row -> metrics.put(MetricNames.TENANT + row.name(), row.service()));
        return metrics;
    }

    private static List<Verdict> verdicts(Scenario scenario, Map<String, Double> metrics) {
        List<Verdict> verdicts = new ArrayList<>();
        for (Scenario.Expectation expected : scenario.expectations()) {
            double value = metrics.getOrDefault(expected.metric(), Double.NaN);
            verdicts.add(Verdict.of(expected, value));
        }
        return verdicts;
    }

    private static Map<Rule, Integer> breachCounts(Auditor auditor) {
        Map<Rule, Integer> counts = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            counts.put(rule, auditor.count(rule));
        }
        return counts;
    }

    private static List<FaultPeriod> faultPeriods(ClusterModel cluster) {
        return cluster.scheduledFaults.stream()
                .map(
                        scheduled ->
                                new FaultPeriod(
                                        scheduled.fault().kind().key(),
                                        scheduled.startAt(),
                                        scheduled.endAt()))
                .toList();
    }

    /** Returns why the run cannot be judged on this machine; null if it can be judged. */
    public String notJudgedReason() {
        if (lag.timerP99Seconds() > MAX_P99_LAG_SECONDS) {
            return "the kit's own timers were late";
        }
        if (lag.coreWaitP99Seconds() > MAX_P99_LAG_SECONDS) {
            return "dispatchers waited for a core";
        }
        boolean mayBeCausedByLag = breachCounts.getOrDefault(Rule.AT_MOST_ONE_EFFECT, 0) == 0;
        if (!keepsRulesAndExpectations()
                && mayBeCausedByLag
                && lag.isEverAbove(MAX_SINGLE_LAG_SECONDS)) {
            return "the machine stalled once, which may be the cause of the failure";
        }
        return null;
    }

    /** Returns whether no rule was broken. */
    public boolean keepsRules() {
        return breachCounts.values().stream().allMatch(count -> count == 0);
    }

    private boolean keepsRulesAndExpectations() {
        return keepsRules() && verdicts.stream().allMatch(Verdict::holds);
    }

    /** Returns the judgement of the run; a partial run is never judged. */
    public Judgement judgement() {
        if (partial) {
            return Judgement.PARTIAL;
        }
        if (notJudgedReason() != null) {
            return Judgement.NOT_JUDGED;
        }
        return keepsRulesAndExpectations() ? Judgement.HOLDS : Judgement.DOES_NOT_HOLD;
    }

    /** Returns whether the run was judged, no rule was broken and all expectations hold. */
    public boolean holds() {
        return judgement() == Judgement.HOLDS;
    }
}
