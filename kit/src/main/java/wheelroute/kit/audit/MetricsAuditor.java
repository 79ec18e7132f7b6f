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
    private static final double TOLERATED_DELAY = 0.5;

    /** So much of a count may be off, or a few. */
    private static final double COUNT_TOLERANCE = 0.01;

    private static final double ATTEMPT_TOLERANCE = 0.02;
    private static final double PENDING_TOLERANCE = 0.1;
    private static final long MIN_TOLERANCE = 3;

    /** More than any count: what cannot be told from outside. */
    private static final long UNBOUNDED = 1L << 60;

    /** For so long after it nothing is compared: what was held back comes all at once. */
    private static final double SETTLE_TIME = 2.5;

    /** Untrue figures told in full; more are counted. */
    private static final int MAX_DETAILED_MISMATCHES = 10;

    private static final String ATTEMPTS = "upstream_requests";
    private static final String PENDING = "pending";

    /** One count of one dispatcher. */
    private static final class Count {
        final CounterHistory observed = new CounterHistory();

        /** Of those seen, how many a process that is no more has counted: at least, and at most. */
        long minBefore;

        long maxBefore;
    }

    /** One process's own numbers. */
    private static final class ReportedMetrics {
        final Map<String, Long> counts = new HashMap<>();
        boolean received;
    }

    /** One dispatcher. */
    private static final class DispatcherMetrics {
        final Map<String, Count> counts = new LinkedHashMap<>();
        final CounterHistory pending = new CounterHistory();

        /** Ended with nobody listening: they may stand under any count, or none. */
        final CounterHistory unattributed = new CounterHistory();

        final Map<Object, ReportedMetrics> processes = new LinkedHashMap<>();
        double suspendedUntil = Double.NEGATIVE_INFINITY;
        boolean suspended;

        /** Launches that were written went nowhere, in the life of a process that still runs. */
        boolean attemptsLost;
    }

    private final Timeline timeline;
    private final Map<Integer, DispatcherMetrics> dispatchers = new HashMap<>();
    private final List<String> mismatches = new ArrayList<>();
    private final boolean writesInPieces;
    private long checkCount;
    private long mismatchCount;
    private long callCount;
    private long lateCallCount;

    /** Piecewise: submissions may be on their way for long before they are taken. */
    public MetricsAuditor(Timeline timeline, boolean piecewise) {
        this.timeline = timeline;
        this.writesInPieces = piecewise;
    }

    private DispatcherMetrics metricsOf(int dispatcher) {
        return dispatchers.computeIfAbsent(dispatcher, d -> new DispatcherMetrics());
    }

    private static Count count(DispatcherMetrics metrics, String name) {
        return metrics.counts.computeIfAbsent(name, n -> new Count());
    }

    /** As the figures name it. */
    public static String metricName(FinalResponse response, String requestClass) {
        return switch (response) {
                    case SUCCEEDED -> "completed.";
                    case REJECTED -> "rejected.";
                    case FAILED -> "failed.";
                }
                + requestClass;
    }

    // ---- what was seen

    public void onSent(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), 1);
    }

    public void onResponse(int dispatcher, String requestClass, FinalResponse response) {
        metricsOf(dispatcher).pending.add(timeline.now(), -1);
        count(metricsOf(dispatcher), metricName(response, requestClass))
                .observed
                .add(timeline.now(), 1);
    }

    /** The client hears no answer, whatever there was: it left, or its connection broke. */
    public void onResponseLost(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), -1);
        metricsOf(dispatcher).unattributed.add(timeline.now(), 1);
    }

    public void onAttempt(int dispatcher) {
        count(metricsOf(dispatcher), ATTEMPTS).observed.add(timeline.now(), 1);
    }

    // ---- its processes

    public void onProcessStarted(int dispatcher, Object process) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        if (metrics.processes.isEmpty()) {
            metrics.counts
                    .values()
                    .forEach(
                            count -> {
                                count.minBefore = count.observed.current();
                                count.maxBefore = count.observed.current();
                            });
            metrics.attemptsLost = false;
        }
        metrics.processes.put(process, new ReportedMetrics());
    }

    /**
     * What it had counted when it ended lies between what it last told and what has been seen
     * since.
     */
    public void onProcessEnded(int dispatcher, Object process) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        ReportedMetrics reported = metrics.processes.remove(process);
        if (reported == null || metrics.processes.isEmpty()) {
            return;
        }
        double now = timeline.now();
        metrics.counts.forEach(
                (name, count) -> {
                    long last = reported.counts.getOrDefault(name, 0L);
                    long since =
                            count.observed.current()
                                    - count.observed.valueAt(now - 2 * TOLERATED_DELAY - 1)
                                    + metrics.unattributed.current()
                                    - metrics.unattributed.valueAt(now - 2 * TOLERATED_DELAY - 1);
                    count.minBefore += last;
                    count.maxBefore += last + since + MIN_TOLERANCE;
                });
        suspendChecks(dispatcher);
    }

    /** Its ways, or the process itself, were not as usual just now. */
    public void suspendChecks(int dispatcher) {
        metricsOf(dispatcher).suspendedUntil = timeline.now() + SETTLE_TIME;
    }

    /** The same for as long as it is not taken back. */
    public void suspendChecks(int dispatcher, boolean begins) {
        metricsOf(dispatcher).suspended = begins;
        suspendChecks(dispatcher);
    }

    /** What was written on a harmed way may never arrive: more may be told than is seen. */
    public void onAttemptsLost(int dispatcher) {
        metricsOf(dispatcher).attemptsLost = true;
    }

    private boolean isSuspended(DispatcherMetrics metrics) {
        return metrics.suspended || timeline.now() < metrics.suspendedUntil;
    }

    // ---- what its doors tell

    /** No answer in time. */
    public void onCallTimeout(int dispatcher) {
        if (!isSuspended(metricsOf(dispatcher))) {
            callCount++;
            lateCallCount++;
        }
    }

    /** The figures as they came, by name. */
    public void onMetrics(int dispatcher, Object process, Map<String, Long> figures) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        ReportedMetrics reported = metrics.processes.get(process);
        if (reported == null) {
            return;
        }
        callCount++;
        reported.counts.clear();
        reported.counts.putAll(figures);
        reported.received = true;
        if (isSuspended(metrics)
                || !metrics.processes.values().stream().allMatch(t -> t.received)) {
            return;
        }
        // Each of two was asked at a moment of its own, so what they tell is that much less sharp.
        double window = metrics.processes.size() > 1 ? 2 * TOLERATED_DELAY : TOLERATED_DELAY;
        Map<String, Long> sums = new HashMap<>();
        metrics.processes
                .values()
                .forEach(
                        t -> t.counts.forEach((name, value) -> sums.merge(name, value, Long::sum)));
        double at = timeline.now();
        timeline.schedule(
                TOLERATED_DELAY,
                () -> {
                    if (!isSuspended(metrics)) {
                        compare(dispatcher, metrics, sums, at, window);
                    }
                });
    }

    private void compare(
            int dispatcher,
            DispatcherMetrics metrics,
            Map<String, Long> sums,
            double at,
            double window) {
        long loose = metrics.unattributed.current();
        metrics.counts.forEach(
                (name, count) -> {
                    long least = count.observed.valueAt(at - window) - count.maxBefore;
                    long most = count.observed.valueAt(at + TOLERATED_DELAY) - count.minBefore;
                    if (name.equals(ATTEMPTS)) {
                        check(
                                dispatcher,
                                name,
                                sums.get(name),
                                least,
                                metrics.attemptsLost ? UNBOUNDED : most,
                                ATTEMPT_TOLERANCE);
                    } else {
                        check(
                                dispatcher,
                                name,
                                sums.get(name),
                                least,
                                most + loose,
                                COUNT_TOLERANCE);
                    }
                });
        check(
                dispatcher,
                PENDING,
                sums.get(PENDING),
                writesInPieces
                        ? -UNBOUNDED
                        : metrics.pending.min(at - window, at + TOLERATED_DELAY),
                metrics.pending.max(at - window, at + TOLERATED_DELAY),
                PENDING_TOLERANCE);
    }

    private void check(int dispatcher, String name, Long told, long least, long most, double off) {
        checkCount++;
        long slack =
                Math.max(
                        MIN_TOLERANCE,
                        (long) Math.ceil(off * Math.max(0, Math.min(most, UNBOUNDED / 2))));
        if (told != null && told >= least - slack && told <= most + slack) {
            return;
        }
        mismatchCount++;
        if (mismatches.size() < MAX_DETAILED_MISMATCHES) {
            mismatches.add(
                    String.format(
                            Locale.ROOT,
                            "n%d tells %s %s, seen were %s to %s",
                            dispatcher,
                            name,
                            told == null ? "nothing" : told,
                            least == -UNBOUNDED ? "any" : least,
                            most >= UNBOUNDED ? "any" : most));
        }
    }

    // ---- the sum

    /** The part of the figures compared that were not true, or missing. */
    public double mismatchFraction() {
        return checkCount == 0 ? 0 : (double) mismatchCount / checkCount;
    }

    /** The part of the calls that had no answer within their time. */
    public double lateCallFraction() {
        return callCount == 0 ? 0 : (double) lateCallCount / callCount;
    }

    public long checkCount() {
        return checkCount;
    }

    public List<String> mismatches() {
        return List.copyOf(mismatches);
    }
}
