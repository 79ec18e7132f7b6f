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
 * Compares the metrics that dispatchers report on their admin servers with what clients and workers
 * observe.
 *
 * <p>Counts start at 0 in each process, also in one that replaces another: while a dispatcher has
 * two processes, the sum of their metrics is compared.
 */
public final class MetricsAuditor {
    /** Metrics may be older, or newer, than the clients' observations by this many seconds. */
    private static final double TOLERATED_DELAY = 0.5;

    /** The fraction by which a count may be off, or {@link #MIN_TOLERANCE}. */
    private static final double COUNT_TOLERANCE = 0.01;

    private static final double ATTEMPT_TOLERANCE = 0.02;
    private static final double PENDING_TOLERANCE = 0.1;
    private static final long MIN_TOLERANCE = 3;

    /** More than any count: the bound of what cannot be observed. */
    private static final long UNBOUNDED = 1L << 60;

    /** Nothing is compared for so long after a fault: delayed messages arrive all at once. */
    private static final double SETTLE_TIME = 2.5;

    /** Mismatches kept in full; more are counted. */
    private static final int MAX_DETAILED_MISMATCHES = 10;

    private static final String ATTEMPTS = "upstream_requests";
    private static final String PENDING = "pending";

    /** A count of a dispatcher. */
    private static final class Count {
        final CounterHistory observed = new CounterHistory();

        /** Bounds of how many of those observed were counted by a process that has ended. */
        long minBefore;

        long maxBefore;
    }

    /** The metrics that a process reported last. */
    private static final class ReportedMetrics {
        final Map<String, Long> counts = new HashMap<>();
        boolean received;
    }

    /** What is known of a dispatcher. */
    private static final class DispatcherMetrics {
        final Map<String, Count> counts = new LinkedHashMap<>();
        final CounterHistory pending = new CounterHistory();

        /** Requests whose response nobody received: any response's count may include them. */
        final CounterHistory unattributed = new CounterHistory();

        final Map<Object, ReportedMetrics> processes = new LinkedHashMap<>();
        double suspendedUntil = Double.NEGATIVE_INFINITY;
        boolean suspended;

        /** Attempts that a running process has sent may have been lost on a link. */
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

    /**
     * Creates an auditor of all dispatchers' metrics.
     *
     * @param writesInPieces whether requests may arrive slowly, so that fewer are pending at the
     *     dispatcher than were sent
     */
    public MetricsAuditor(Timeline timeline, boolean writesInPieces) {
        this.timeline = timeline;
        this.writesInPieces = writesInPieces;
    }

    private DispatcherMetrics metricsOf(int dispatcher) {
        return dispatchers.computeIfAbsent(dispatcher, key -> new DispatcherMetrics());
    }

    private static Count count(DispatcherMetrics metrics, String name) {
        return metrics.counts.computeIfAbsent(name, key -> new Count());
    }

    /** The name of the metric that counts this response. */
    public static String metricName(FinalResponse response, String requestClass) {
        return switch (response) {
                    case SUCCEEDED -> "completed.";
                    case REJECTED -> "rejected.";
                    case FAILED -> "failed.";
                }
                + requestClass;
    }

    // ---- observations

    /** A client has sent a request. */
    public void onSent(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), 1);
    }

    /** A client has received a final response. */
    public void onResponse(int dispatcher, String requestClass, FinalResponse response) {
        metricsOf(dispatcher).pending.add(timeline.now(), -1);
        count(metricsOf(dispatcher), metricName(response, requestClass))
                .observed
                .add(timeline.now(), 1);
    }

    /** A client will receive no response: it has cancelled, or its connection was lost. */
    public void onResponseLost(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), -1);
        metricsOf(dispatcher).unattributed.add(timeline.now(), 1);
    }

    /** A worker has received an attempt. */
    public void onAttempt(int dispatcher) {
        count(metricsOf(dispatcher), ATTEMPTS).observed.add(timeline.now(), 1);
    }

    // ---- processes

    /** A process of the dispatcher has started; processes are told apart by identity. */
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
     * A process of the dispatcher has ended. Its final counts are at least those that it reported
     * last, and at most higher by what has been observed since.
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

    /** A fault has just affected the dispatcher: nothing is compared for a while. */
    public void suspendChecks(int dispatcher) {
        metricsOf(dispatcher).suspendedUntil = timeline.now() + SETTLE_TIME;
    }

    /** A fault that affects the dispatcher begins or ends. */
    public void suspendChecks(int dispatcher, boolean begins) {
        metricsOf(dispatcher).suspended = begins;
        suspendChecks(dispatcher);
    }

    /** Attempts may be lost on a link: the dispatcher may count more than workers observe. */
    public void onAttemptsLost(int dispatcher) {
        metricsOf(dispatcher).attemptsLost = true;
    }

    private boolean isSuspended(DispatcherMetrics metrics) {
        return metrics.suspended || timeline.now() < metrics.suspendedUntil;
    }

    // ---- reported metrics

    /** A call to a process's admin server timed out. */
    public void onCallTimeout(int dispatcher) {
        if (!isSuspended(metricsOf(dispatcher))) {
            callCount++;
            lateCallCount++;
        }
    }

    /** A process has reported its metrics. */
    public void onMetrics(int dispatcher, Object process, Map<String, Long> values) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        ReportedMetrics reported = metrics.processes.get(process);
        if (reported == null) {
            return;
        }
        callCount++;
        reported.counts.clear();
        reported.counts.putAll(values);
        reported.received = true;
        if (isSuspended(metrics)
                || !metrics.processes.values().stream().allMatch(each -> each.received)) {
            return;
        }
        // Two processes were called at different times, which widens the window.
        double window = metrics.processes.size() > 1 ? 2 * TOLERATED_DELAY : TOLERATED_DELAY;
        Map<String, Long> sums = new HashMap<>();
        metrics.processes
                .values()
                .forEach(
                        each ->
                                each.counts.forEach(
                                        (name, value) -> sums.merge(name, value, Long::sum)));
        double time = timeline.now();
        timeline.schedule(
                TOLERATED_DELAY,
                () -> {
                    if (!isSuspended(metrics)) {
                        compare(dispatcher, metrics, sums, time, window);
                    }
                });
    }

    private void compare(
            int dispatcher,
            DispatcherMetrics metrics,
            Map<String, Long> sums,
            double time,
            double window) {
        long unattributed = metrics.unattributed.current();
        metrics.counts.forEach(
                (name, count) -> {
                    long min = count.observed.valueAt(time - window) - count.maxBefore;
                    long max = count.observed.valueAt(time + TOLERATED_DELAY) - count.minBefore;
                    if (name.equals(ATTEMPTS)) {
                        check(
                                dispatcher,
                                name,
                                sums.get(name),
                                min,
                                metrics.attemptsLost ? UNBOUNDED : max,
                                ATTEMPT_TOLERANCE);
                    } else {
                        check(
                                dispatcher,
                                name,
                                sums.get(name),
                                min,
                                max + unattributed,
                                COUNT_TOLERANCE);
                    }
                });
        check(
                dispatcher,
                PENDING,
                sums.get(PENDING),
                writesInPieces
                        ? -UNBOUNDED
                        : metrics.pending.min(time - window, time + TOLERATED_DELAY),
                metrics.pending.max(time - window, time + TOLERATED_DELAY),
                PENDING_TOLERANCE);
    }

    private void check(
            int dispatcher, String name, Long reported, long min, long max, double tolerance) {
        checkCount++;
        long slack =
                Math.max(
                        MIN_TOLERANCE,
                        (long) Math.ceil(tolerance * Math.max(0, Math.min(max, UNBOUNDED / 2))));
        if (reported != null && reported >= min - slack && reported <= max + slack) {
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
                            reported == null ? "nothing" : reported,
                            min == -UNBOUNDED ? "any" : min,
                            max >= UNBOUNDED ? "any" : max));
        }
    }

    // ---- results

    /** The fraction of compared metrics that did not match or were missing. */
    public double mismatchFraction() {
        return checkCount == 0 ? 0 : (double) mismatchCount / checkCount;
    }

    /** The fraction of calls that timed out. */
    public double lateCallFraction() {
        return callCount == 0 ? 0 : (double) lateCallCount / callCount;
    }

    /** The number of metrics compared. */
    public long checkCount() {
        return checkCount;
    }

    /** Descriptions of the first mismatches. */
    public List<String> mismatches() {
        return List.copyOf(mismatches);
    }
}
