package wheelroute.kit.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.Rule;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.scenario.FigureNames;
import wheelroute.kit.scenario.Scenario;

/** One run's result. Nothing in it depends on the machine, where the clock is virtual. */
public record Report(
        Run run,
        Row total,
        List<Row> requestClasses,
        List<Row> tenants,
        Map<String, Double> figures,
        List<Verdict> verdicts,
        Map<Rule, Integer> breachCounts,
        List<Auditor.Breach> breaches,
        Series series,
        List<double[]> distribution,
        List<Band> bands,
        Lag lag,
        List<String> notes,
        boolean partial) {
    /** Past this lateness of the machine, in seconds at the 99th percentile, a run says nothing. */
    public static final double MAX_LAG = 0.05;

    /** A machine that was once so late may itself be why something came too late. */
    public static final double MAX_SINGLE_LAG = 0.1;

    /** What was played. */
    public record Run(
            String scenario,
            String title,
            String clock,
            String variant,
            long seed,
            double seconds,
            int workers,
            int dispatchers) {}

    /** Counts of asks; times in seconds, NaN where nothing was fulfilled. */
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
            double p50,
            double p99,
            double p999) {}

    /** One expectation, and whether it holds. */
    public record Verdict(String figure, double min, double max, double value, boolean holds) {
        /** How the verdict is printed. */
        public String text() {
            return figure
                    + (Double.isInfinite(min) ? "" : " at least " + min)
                    + (Double.isInfinite(max) ? "" : " at most " + max)
                    + ": "
                    + String.format(Locale.ROOT, "%.4f", value)
                    + (holds ? "" : "  DOES NOT HOLD");
        }
    }

    /** Over time; queues by group of workers. */
    public record Series(
            double[] times,
            double[] requested,
            double[] attempted,
            double[] service,
            Map<String, double[]> queues) {}

    /** A fault's time in the run. */
    public record Band(String name, double from, double to) {}

    /**
     * How late the machine was, in seconds; zeros on the simulated clock.
     *
     * @param p99 of the stand-ins' own timers
     * @param waitP99 of each tenth of a second, how long a dispatcher was ready to run and had no
     *     core
     */
    public record Lag(double p99, double max, double waitP99, double waitMax) {
        public static final Lag NONE = new Lag(0, 0, 0, 0);
    }

    /** What only some runs can measure: figures by name, and lines for people. */
    public record Extra(Map<String, Double> figures, List<String> notes) {
        public static final Extra NONE = new Extra(Map.of(), List.of());
    }

    /** What a run is good for. */
    public enum Judgement {
        HOLDS,
        DOES_NOT_HOLD,
        /** This machine was too busy to say. */
        NOT_JUDGED,
        /** Stopped before its end. */
        PARTIAL
    }

    /** Puts a run's parts together and judges it. */
    public static Report of(
            Run run,
            Recorder recorder,
            Auditor auditor,
            ClusterModel cluster,
            Lag lag,
            Extra extra,
            boolean partial) {
        Tally tally = recorder.tally();
        Row total = tally.total();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put(FigureNames.SERVICE, total.service());
        double counted = Math.max(1, total.requested() - total.cancelled());
        figures.put(FigureNames.IN_TIME, total.inTime() / counted);
        figures.put(FigureNames.REJECTED, total.rejected() / counted);
        figures.put(FigureNames.FAILED, total.failed() / counted);
        figures.put(FigureNames.UNANSWERED, total.unanswered() / counted);
        figures.put(FigureNames.BREACHES, (double) auditor.total());
        figures.put(FigureNames.ATTEMPTS, recorder.attemptsPerRequest());
        figures.put(FigureNames.P50, total.p50());
        figures.put(FigureNames.P99, total.p99());
        figures.put(FigureNames.P999, total.p999());
        tally.requestClassRows()
                .forEach(row -> figures.put(FigureNames.REQUEST_CLASS + row.name(), row.service()));
        tally.tenantRows()
                .forEach(row -> figures.put(FigureNames.TENANT + row.name(), row.service()));
        figures.putAll(extra.figures());
        List<Verdict> verdicts = new ArrayList<>();
        for (Scenario.Expectation e : cluster.scenario.expectations()) {
            double value = figures.getOrDefault(e.figure(), Double.NaN);
            verdicts.add(
                    new Verdict(
                            e.figure(),
                            e.min(),
                            e.max(),
                            value,
                            value >= e.min() && value <= e.max()));
        }
        Map<Rule, Integer> counts = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            counts.put(rule, auditor.count(rule));
        }
        List<Band> bands =
                cluster.scheduledFaults.stream()
                        .map(
                                h ->
                                        new Band(
                                                h.fault()
                                                        .kind()
                                                        .name()
                                                        .toLowerCase(Locale.ROOT)
                                                        .replace('_', '-'),
                                                h.start(),
                                                h.end()))
                        .toList();
        return new Report(
                run,
                total,
                tally.requestClassRows(),
                tally.tenantRows(),
                figures,
                verdicts,
                counts,
                auditor.breaches(),
                tally.series(cluster),
                tally.distribution(),
                bands,
                lag,
                extra.notes(),
                partial);
    }

    /** Null where the machine kept up; else why this run cannot be judged. */
    public String whyNotJudged() {
        if (lag.p99() > MAX_LAG) {
            return "the stand-ins were late";
        }
        if (lag.waitP99() > MAX_LAG) {
            return "dispatchers waited for a core";
        }
        boolean fails = !keepsRules() || !verdicts.stream().allMatch(Verdict::holds);
        // What happens twice does so on any machine; what comes too late may be the machine's
        // doing.
        boolean onlyLate = breachCounts.getOrDefault(Rule.NO_EFFECT_TWICE, 0) == 0;
        if (fails && onlyLate && Math.max(lag.max(), lag.waitMax()) > MAX_SINGLE_LAG) {
            return "the machine stood still for a moment, and what fails may come of that";
        }
        return null;
    }

    /** Whether no rule was broken. */
    public boolean keepsRules() {
        return breachCounts.values().stream().allMatch(count -> count == 0);
    }

    /** The verdict on the run. */
    public Judgement judgement() {
        if (partial) {
            return Judgement.PARTIAL;
        }
        if (whyNotJudged() != null) {
            return Judgement.NOT_JUDGED;
        }
        return keepsRules() && verdicts.stream().allMatch(Verdict::holds)
                ? Judgement.HOLDS
                : Judgement.DOES_NOT_HOLD;
    }

    /** Played to its end, in time, no rule broken, and all that was expected holds. */
    public boolean holds() {
        return judgement() == Judgement.HOLDS;
    }
}
