package wheelroute.kit.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.Timeline;

/**
 * Compares the metrics that dispatchers report on their admin servers with the observations of
 * clients and workers.
 *
 * <p>Counts start at 0 in each process, also in one that replaces another. While a dispatcher has
 * two processes, the sum of their metrics is compared.
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class MetricsAuditor {
    /** The time by which metrics may be older or newer than the clients' observations. */
    private static final double TOLERATED_DELAY_SECONDS = 0.5;

    /** The longest time between two reports of a process. */
    private static final double MAX_REPORT_INTERVAL_SECONDS = 1;

    /** The time without comparisons after a fault, when delayed messages arrive in a burst. */
    private static final double SETTLE_SECONDS = 2.5;

    /** The fraction by which a count of responses may be off. */
    private static final double COUNT_TOLERANCE = 0.01;

    /** The fraction by which the count of attempts may be off. */
    private static final double ATTEMPT_TOLERANCE = 0.02;

    /** The fraction by which the number of pending requests may be off. */
    private static final double PENDING_TOLERANCE = 0.1;

    /** The minimum tolerance of any metric, in units of its value. */
    private static final long MIN_TOLERANCE = 3;

    /** A bound above any count, for metrics whose limit cannot be observed. */
    private static final long UNBOUNDED = 1L << 60;

    /** The number of mismatches that are described; further ones are only counted. */
    private static final int MAX_DETAILED_MISMATCHES = 10;

    private static final String ATTEMPTS = "upstream_requests";
    private static final String PENDING = "pending";

    /** The range of values of a metric that agrees with the observations. */
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
    private final boolean requestsArriveInPieces;
    private final Map<Integer, DispatcherMetrics> dispatchers = new HashMap<>();
    private final List<String> mismatches = new ArrayList<>();
    private long checkCount;
    private long mismatchCount;
    private long callCount;
    private long lateCallCount;

    /**
     * Creates an auditor of all dispatchers' metrics.
     *
     * @param requestsArriveInPieces whether clients write requests in pieces with pauses, so that
     *     fewer requests are pending at the dispatcher than were sent
     */
    public MetricsAuditor(Timeline timeline, boolean requestsArriveInPieces) {
        this.timeline = timeline;
        this.requestsArriveInPieces = requestsArriveInPieces;
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

    /** Records that a client has sent a request. */
    public void onSent(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), 1);
    }

    /** Records that a client has received a final response. */
    public void onResponse(int dispatcher, String requestClass, FinalResponse response) {
        DispatcherMetrics metrics = metricsOf(dispatcher);
        metrics.pending.add(timeline.now(), -1);
        metrics.count(metricName(response, requestClass)).observed.add(timeline.now(), 1);
    }

    /** Records that a client gets no response, because it cancelled or its connection was lost. */
    public void onResponseLost(int dispatcher) {
        metricsOf(dispatcher).pending.add(timeline.now(), -1);
        metricsOf(dispatcher).unattributed.add(timeline.now(), 1);
    }

    /** Records that a worker has received an attempt. */
    public void onAttempt(int dispatcher) {
        metricsOf(dispatcher).count(ATTEMPTS).observed.add(timeline.now(), 1);
    }

    /** Records that a process of a dispatcher has started; the process object identifies it. */
    public void onProcessStarted(int dispatcher, Object process) {
        metricsOf(dispatcher).addProcess(process);
    }

    /**
     * Records that a process of a dispatcher has ended. Its final counts are at least the last
     * reported ones, and exceed them by at most the events observed since that report.
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
                    count.minInEndedProcesses += last;
                    count.maxInEndedProcesses += last + since + MIN_TOLERANCE;
                });
        suspendChecks(dispatcher);
    }

    private static long increaseSince(CounterHistory counter, double time) {
        return counter.current() - counter.valueAt(time);
    }

    /** Suspends comparisons for a short time because a fault has just affected a dispatcher. */
    public void suspendChecks(int dispatcher) {
        metricsOf(dispatcher).suspendUntil(timeline.now() + SETTLE_SECONDS);
    }

    /** Suspends comparisons while a fault affects a dispatcher, and for a short time after it. */
    public void suspendChecks(int dispatcher, boolean begins) {
        metricsOf(dispatcher).setFaultActive(begins);
        suspendChecks(dispatcher);
    }

    /**
     * Records that a link may lose attempts, so that the dispatcher may count more than workers.
     */
    public void onAttemptsLost(int dispatcher) {
        metricsOf(dispatcher).mayHaveLostAttempts = true;
    }

    private boolean isSuspended(DispatcherMetrics metrics) {
        return metrics.isSuspended(timeline.now());
    }

    /** Counts a call to the admin server of a process that timed out, except during faults. */
    public void onCallTimeout(int dispatcher) {
        if (!isSuspended(metricsOf(dispatcher))) {
            callCount++;
            lateCallCount++;
        }
    }

    /** Compares metrics that a process has reported, once later observations have arrived. */
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
        // The window is wider for two processes because they are called at different times.
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
                    long min = count.observed.valueAt(from) - count.maxInEndedProcesses;
                    long max = count.observed.valueAt(to) - count.minInEndedProcesses;
                    boolean isAttempts = name.equals(ATTEMPTS);
                    if (isAttempts) {
                        max = metrics.mayHaveLostAttempts ? UNBOUNDED : max;
                    } else {
                        max += unattributed;
                    }
                    double tolerance = isAttempts ? ATTEMPT_TOLERANCE : COUNT_TOLERANCE;
                    check(dispatcher, name, sums.get(name), new Bounds(min, max), tolerance);
                });
        long minPending = requestsArriveInPieces ? -UNBOUNDED : metrics.pending.min(from, to);
        Bounds pending = new Bounds(minPending, metrics.pending.max(from, to));
        check(dispatcher, PENDING, sums.get(PENDING), pending, PENDING_TOLERANCE);
    }

    /** Compares a reported metric with its bounds; reported is null for a missing metric. */
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

    /**
     * Returns the fraction of comparisons that did not match or lacked the metric; 0 without any.
     */
    public double mismatchFraction() {
        return checkCount == 0 ? 0 : (double) mismatchCount / checkCount;
    }

    /** Returns the fraction of admin server calls that timed out; 0 without calls. */
    public double lateCallFraction() {
        return callCount == 0 ? 0 : (double) lateCallCount / callCount;
    }

    /** Returns the number of comparisons of single metrics. */
    public long checkCount() {
        return checkCount;
    }

    /** Returns descriptions of the first mismatches, in the order of their detection. */
    public List<String> mismatches() {
        return List.copyOf(mismatches);
    }
}
