package wheelroute.kit.audit;

import java.util.ArrayList;
import java.util.HashMap;
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
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class MetricsAuditor {
    /** By how much metrics may be older, or newer, than the clients' observations. */
    private static final double TOLERATED_DELAY_SECONDS = 0.5;

    /** The longest time between two reports of a process. */
    private static final double MAX_REPORT_INTERVAL_SECONDS = 1;

    /** Nothing is compared this long after a fault, when delayed messages arrive all at once. */
    private static final double SETTLE_SECONDS = 2.5;

    /** The fractions by which a figure may be off; at least {@link #MIN_TOLERANCE}. */
    private static final double COUNT_TOLERANCE = 0.01;

    private static final double ATTEMPT_TOLERANCE = 0.02;
    private static final double PENDING_TOLERANCE = 0.1;
    private static final long MIN_TOLERANCE = 3;

    /** More than any count: the bound of what cannot be observed. */
    private static final long UNBOUNDED = 1L << 60;

    /** Mismatches that are described; more are counted. */
    private static final int MAX_DETAILED_MISMATCHES = 10;

    private static final String ATTEMPTS = "upstream_requests";
    private static final String PENDING = "pending";

    /** The values of a metric that the observations allow, before any tolerance. */
    private record Bounds(long min, long max) {
        Bounds widenedBy(double fraction) {
            double base = Math.max(0, Math.min(max, UNBOUNDED / 2));
            long slack = Math.max(MIN_TOLERANCE, (long) Math.ceil(fraction * base));
            return new Bounds(min - slack, max + slack);
        }

        boolean contains(long value) {
            return value >= min && value <= max;
        }

        @Override
        public String toString() {
            return (min == -UNBOUNDED ? "any" : min) + " to " + (max >= UNBOUNDED ? "any" : max);
        }
    }

    private final Timeline timeline;
    private final boolean writesInPieces;
    private final Map<Integer, DispatcherMetrics> dispatchers = new HashMap<>();
    private final List<String> mismatches = new ArrayList<>();
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

    /** Returns the name of the metric that counts this response. */
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
        DispatcherMetrics metrics = metricsOf(dispatcher);
        metrics.pending.add(timeline.now(), -1);
        metrics.count(metricName(response, requestClass)).observed.add(timeline.now(), 1);
    }

    /** A client will receive no response: it has cancelled, or its connection was lost. */
    public void onResponseLost(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), -1);
        metricsOf(dispatcher).unattributed.add(timeline.now(), 1);
    }

    /** A worker has received an attempt. */
    public void onAttempt(int dispatcher) {
        metricsOf(dispatcher).count(ATTEMPTS).observed.add(timeline.now(), 1);
    }

    // ---- processes

    /** A process of the dispatcher has started; processes are distinguished by identity. */
    public void onProcessStarted(int dispatcher, Object process) {
        metricsOf(dispatcher).addProcess(process);
    }

    /**
     * A process of the dispatcher has ended. Its final counts are at least those that it reported
     * last, and at most higher by what has been observed since.
     */
    public void onProcessEnded(int dispatcher, Object process) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        Map<String, Long> reported = metrics.removeProcess(process);
        if (reported == null || metrics.processCount() == 0) {
            return;
        }
        double reportedAt =
                timeline.now() - 2 * TOLERATED_DELAY_SECONDS - MAX_REPORT_INTERVAL_SECONDS;
        long unattributed = increaseSince(metrics.unattributed, reportedAt);
        metrics.counts.forEach(
                (name, count) -> {
                    long last = reported.getOrDefault(name, 0L);
                    long since = increaseSince(count.observed, reportedAt) + unattributed;
                    count.minBefore += last;
                    count.maxBefore += last + since + MIN_TOLERANCE;
                });
        suspendChecks(dispatcher);
    }

    private static long increaseSince(CounterHistory counter, double time) {
        return counter.current() - counter.valueAt(time);
    }

    /** A fault has just affected the dispatcher: nothing is compared for a while. */
    public void suspendChecks(int dispatcher) {
        metricsOf(dispatcher).suspendUntil(timeline.now() + SETTLE_SECONDS);
    }

    /** A fault that affects the dispatcher begins or ends. */
    public void suspendChecks(int dispatcher, boolean begins) {
        metricsOf(dispatcher).setFaultActive(begins);
        suspendChecks(dispatcher);
    }

    /** Attempts may be lost on a link: the dispatcher may count more than workers observe. */
    public void onAttemptsLost(int dispatcher) {
        metricsOf(dispatcher).areAttemptsLost = true;
    }

    private boolean isSuspended(DispatcherMetrics metrics) {
        return metrics.isSuspended(timeline.now());
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
        if (!metrics.hasProcess(process)) {
            return;
        }
        callCount++;
        metrics.onReported(process, values);
        if (isSuspended(metrics) || !metrics.haveAllReported()) {
            return;
        }
        // Two processes were called at different times, which widens the window.
        double windowSeconds =
                metrics.processCount() > 1 ? 2 * TOLERATED_DELAY_SECONDS : TOLERATED_DELAY_SECONDS;
        Map<String, Long> sums = metrics.sums();
        double reportedAt = timeline.now();
        timeline.schedule(
                TOLERATED_DELAY_SECONDS,
                () -> {
                    if (!isSuspended(metrics)) {
                        compare(dispatcher, sums, reportedAt, windowSeconds);
                    }
                });
    }

    private void compare(
            int dispatcher, Map<String, Long> sums, double reportedAt, double windowSeconds) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        double from = reportedAt - windowSeconds;
        double to = reportedAt + TOLERATED_DELAY_SECONDS;
        long unattributed = metrics.unattributed.current();
        metrics.counts.forEach(
                (name, count) -> {
                    long min = count.observed.valueAt(from) - count.maxBefore;
                    long max = count.observed.valueAt(to) - count.minBefore;
                    boolean isAttempts = name.equals(ATTEMPTS);
                    if (isAttempts) {
                        max = metrics.areAttemptsLost ? UNBOUNDED : max;
                    } else {
                        max += unattributed;
                    }
                    double tolerance = isAttempts ? ATTEMPT_TOLERANCE : COUNT_TOLERANCE;
                    check(dispatcher, name, sums.get(name), new Bounds(min, max), tolerance);
                });
        long minPending = writesInPieces ? -UNBOUNDED : metrics.pending.min(from, to);
        Bounds pending = new Bounds(minPending, metrics.pending.max(from, to));
        check(dispatcher, PENDING, sums.get(PENDING), pending, PENDING_TOLERANCE);
    }

    /** Counts a check; reported is null for a metric that is missing. */
    private void check(
            int dispatcher, String name, Long reported, Bounds bounds, double tolerance) {
        checkCount++;
        if (reported != null && bounds.widenedBy(tolerance).contains(reported)) {
            return;
        }
        mismatchCount++;
        if (mismatches.size() < MAX_DETAILED_MISMATCHES) {
            mismatches.add(
                    String.format(
                            Locale.ROOT,
                            "n%d reports %s %s, observed were %s",
                            dispatcher,
                            name,
                            reported == null ? "not at all" : reported,
                            bounds));
        }
    }

    // ---- results

    /** Returns the fraction of compared metrics that did not match or were missing. */
    public double mismatchFraction() {
        return checkCount == 0 ? 0 : (double) mismatchCount / checkCount;
    }

    /** Returns the fraction of calls that timed out. */
    public double lateCallFraction() {
        return callCount == 0 ? 0 : (double) lateCallCount / callCount;
    }

    /** Returns the number of metrics compared. */
    public long checkCount() {
        return checkCount;
    }

    /** Returns descriptions of the first mismatches. */
    public List<String> mismatches() {
        return List.copyOf(mismatches);
    }
}
