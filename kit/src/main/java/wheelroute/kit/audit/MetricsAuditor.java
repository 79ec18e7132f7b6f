package wheelroute.kit.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.Timeline;

/**
 * Holds the figures of the operators' doors against what clients and workers saw. Processes count
 * from 0, also those that take another's place: what the two of one dispatcher tell together is
 * compared.
 */
public final class MetricsAuditor {
    /** What is told may be so old, or as much ahead of what a client has heard. */
    private static final double LATE = 0.5;

    /** So much of a count may be off, or a few. */
    private static final double OFF = 0.01;

    private static final double OFF_LAUNCHES = 0.02;
    private static final double OFF_PENDING = 0.1;
    private static final long FEW = 3;

    /** More than any count: what cannot be told from outside. */
    private static final long UNKNOWN = 1L << 60;

    /** For so long after it nothing is compared: what was held back comes all at once. */
    private static final double SETTLE = 2.5;

    /** Untrue figures told in full; more are counted. */
    private static final int MOST_TOLD = 10;

    private static final String LAUNCHES = "upstream_requests";
    private static final String PENDING = "pending";

    /** One count of one dispatcher. */
    private static final class Count {
        final CounterHistory seen = new CounterHistory();

        /** Of those seen, how many a process that is no more has counted: at least, and at most. */
        long leastBefore;

        long mostBefore;
    }

    /** One process's own numbers. */
    private static final class ReportedMetrics {
        final Map<String, Long> last = new HashMap<>();
        boolean any;
    }

    /** One dispatcher. */
    private static final class DispatcherMetrics {
        final Map<String, Count> counts = new LinkedHashMap<>();
        final CounterHistory open = new CounterHistory();

        /** Ended with nobody listening: they may stand under any count, or none. */
        final CounterHistory loose = new CounterHistory();

        final Map<Object, ReportedMetrics> processes = new LinkedHashMap<>();
        double unsureUntil = Double.NEGATIVE_INFINITY;
        boolean unsure;

        /** Launches that were written went nowhere, in the life of a process that still runs. */
        boolean lost;
    }

    private final Timeline timeline;
    private final Map<Integer, DispatcherMetrics> dispatchers = new HashMap<>();
    private final List<String> untrue = new ArrayList<>();
    private final boolean piecewise;
    private long checks;
    private long untrueChecks;
    private long calls;
    private long late;

    /** Piecewise: submissions may be on their way for long before they are taken. */
    public MetricsAuditor(Timeline timeline, boolean piecewise) {
        this.timeline = timeline;
        this.piecewise = piecewise;
    }

    private DispatcherMetrics of(int dispatcher) {
        return dispatchers.computeIfAbsent(dispatcher, d -> new DispatcherMetrics());
    }

    private static Count count(DispatcherMetrics of, String name) {
        return of.counts.computeIfAbsent(name, n -> new Count());
    }

    /** As the figures name it. */
    public static String name(FinalResponse answer, String offering) {
        return switch (answer) {
                    case FULFILLED -> "completed.";
                    case BOUNCED -> "rejected.";
                    case SCRAPPED -> "failed.";
                }
                + offering;
    }

    // ---- what was seen

    public void sent(int dispatcher) {
        of(dispatcher).open.add(timeline.now(), 1);
    }

    public void answered(int dispatcher, String offering, FinalResponse answer) {
        of(dispatcher).open.add(timeline.now(), -1);
        count(of(dispatcher), name(answer, offering)).seen.add(timeline.now(), 1);
    }

    /** The client hears no answer, whatever there was: it left, or its connection broke. */
    public void unheard(int dispatcher) {
        of(dispatcher).open.add(timeline.now(), -1);
        of(dispatcher).loose.add(timeline.now(), 1);
    }

    public void launched(int dispatcher) {
        count(of(dispatcher), LAUNCHES).seen.add(timeline.now(), 1);
    }

    // ---- its processes

    public void began(int dispatcher, Object process) {
        DispatcherMetrics of = of(dispatcher);
        if (of.processes.isEmpty()) {
            of.counts
                    .values()
                    .forEach(
                            count -> {
                                count.leastBefore = count.seen.now();
                                count.mostBefore = count.seen.now();
                            });
            of.lost = false;
        }
        of.processes.put(process, new ReportedMetrics());
    }

    /**
     * What it had counted when it ended lies between what it last told and what has been seen
     * since.
     */
    public void ended(int dispatcher, Object process) {
        DispatcherMetrics of = of(dispatcher);
        ReportedMetrics told = of.processes.remove(process);
        if (told == null || of.processes.isEmpty()) {
            return;
        }
        double now = timeline.now();
        of.counts.forEach(
                (name, count) -> {
                    long last = told.last.getOrDefault(name, 0L);
                    long since =
                            count.seen.now()
                                    - count.seen.at(now - 2 * LATE - 1)
                                    + of.loose.now()
                                    - of.loose.at(now - 2 * LATE - 1);
                    count.leastBefore += last;
                    count.mostBefore += last + since + FEW;
                });
        unsure(dispatcher);
    }

    /** Its ways, or the process itself, were not as usual just now. */
    public void unsure(int dispatcher) {
        of(dispatcher).unsureUntil = timeline.now() + SETTLE;
    }

    /** The same for as long as it is not taken back. */
    public void unsure(int dispatcher, boolean begins) {
        of(dispatcher).unsure = begins;
        unsure(dispatcher);
    }

    /** What was written on a harmed way may never arrive: more may be told than is seen. */
    public void launchesLost(int dispatcher) {
        of(dispatcher).lost = true;
    }

    private boolean isUnsure(DispatcherMetrics of) {
        return of.unsure || timeline.now() < of.unsureUntil;
    }

    // ---- what its doors tell

    /** No answer in time. */
    public void silent(int dispatcher) {
        if (!isUnsure(of(dispatcher))) {
            calls++;
            late++;
        }
    }

    /** The figures as they came, by name. */
    public void told(int dispatcher, Object process, Map<String, Long> figures) {
        DispatcherMetrics of = of(dispatcher);
        ReportedMetrics told = of.processes.get(process);
        if (told == null) {
            return;
        }
        calls++;
        told.last.clear();
        told.last.putAll(figures);
        told.any = true;
        if (isUnsure(of) || !of.processes.values().stream().allMatch(t -> t.any)) {
            return;
        }
        // Each of two was asked at a moment of its own, so what they tell is that much less sharp.
        double window = of.processes.size() > 1 ? 2 * LATE : LATE;
        Map<String, Long> sums = new HashMap<>();
        of.processes
                .values()
                .forEach(t -> t.last.forEach((name, value) -> sums.merge(name, value, Long::sum)));
        double at = timeline.now();
        timeline.after(
                LATE,
                () -> {
                    if (!isUnsure(of)) {
                        compare(dispatcher, of, sums, at, window);
                    }
                });
    }

    private void compare(
            int dispatcher,
            DispatcherMetrics of,
            Map<String, Long> sums,
            double at,
            double window) {
        long loose = of.loose.now();
        of.counts.forEach(
                (name, count) -> {
                    long least = count.seen.at(at - window) - count.mostBefore;
                    long most = count.seen.at(at + LATE) - count.leastBefore;
                    if (name.equals(LAUNCHES)) {
                        check(
                                dispatcher,
                                name,
                                sums.get(name),
                                least,
                                of.lost ? UNKNOWN : most,
                                OFF_LAUNCHES);
                    } else {
                        check(dispatcher, name, sums.get(name), least, most + loose, OFF);
                    }
                });
        check(
                dispatcher,
                PENDING,
                sums.get(PENDING),
                piecewise ? -UNKNOWN : of.open.least(at - window, at + LATE),
                of.open.most(at - window, at + LATE),
                OFF_PENDING);
    }

    private void check(int dispatcher, String name, Long told, long least, long most, double off) {
        checks++;
        long slack =
                Math.max(FEW, (long) Math.ceil(off * Math.max(0, Math.min(most, UNKNOWN / 2))));
        if (told != null && told >= least - slack && told <= most + slack) {
            return;
        }
        untrueChecks++;
        if (untrue.size() < MOST_TOLD) {
            untrue.add(
                    String.format(
                            Locale.ROOT,
                            "n%d tells %s %s, seen were %s to %s",
                            dispatcher,
                            name,
                            told == null ? "nothing" : told,
                            least == -UNKNOWN ? "any" : least,
                            most >= UNKNOWN ? "any" : most));
        }
    }

    // ---- the sum

    /** The part of the figures compared that were not true, or missing. */
    public double untruePart() {
        return checks == 0 ? 0 : (double) untrueChecks / checks;
    }

    /** The part of the calls that had no answer within their time. */
    public double latePart() {
        return calls == 0 ? 0 : (double) late / calls;
    }

    public long checks() {
        return checks;
    }

    public List<String> untrue() {
        return List.copyOf(untrue);
    }
}
