package wheelroute.kit.audit;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a dispatcher's processes have reported, and what clients and workers observed of it. */
final class DispatcherMetrics {
    /** A count over all processes of the dispatcher. */
    static final class Count {
        final CounterHistory observed = new CounterHistory();

        /** Bounds of how many of those observed were counted by processes that have ended. */
        long minBefore;

        long maxBefore;
    }

    /** The metrics that a process reported last. */
    private static final class ReportedMetrics {
        final Map<String, Long> values = new HashMap<>();
        boolean isReceived;
    }

    final Map<String, Count> counts = new LinkedHashMap<>();
    final CounterHistory pending = new CounterHistory();

    /** Requests whose response was not received: the count of any response may include them. */
    final CounterHistory unattributed = new CounterHistory();

    /** Whether attempts that a running process has sent may have been lost on a link. */
    boolean areAttemptsLost;

    private final Map<Object, ReportedMetrics> processes = new LinkedHashMap<>();
    private double suspendedUntil = Double.NEGATIVE_INFINITY;
    private boolean isFaultActive;

    Count count(String name) {
        return counts.computeIfAbsent(name, key -> new Count());
    }

    // ---- processes

    /** Adds a process; one that follows no other counts from 0. */
    void addProcess(Object process) {
        if (processes.isEmpty()) {
            for (Count count : counts.values()) {
                count.minBefore = count.observed.current();
                count.maxBefore = count.observed.current();
            }
            areAttemptsLost = false;
        }
        processes.put(process, new ReportedMetrics());
    }

    /** Removes a process and returns what it reported last; null for an unknown process. */
    Map<String, Long> removeProcess(Object process) {
        ReportedMetrics reported = processes.remove(process);
        return reported == null ? null : reported.values;
    }

    boolean hasProcess(Object process) {
        return processes.containsKey(process);
    }

    int processCount() {
        return processes.size();
    }

    void onReported(Object process, Map<String, Long> values) {
        ReportedMetrics reported = processes.get(process);
        reported.values.clear();
        reported.values.putAll(values);
        reported.isReceived = true;
    }

    boolean haveAllReported() {
        return processes.values().stream().allMatch(each -> each.isReceived);
    }

    /** Returns the sums of what all processes reported last. */
    Map<String, Long> sums() {
        Map<String, Long> sums = new HashMap<>();
        Collection<ReportedMetrics> all = processes.values();
        all.forEach(
                each -> each.values.forEach((name, value) -> sums.merge(name, value, Long::sum)));
        return sums;
    }

    // ---- suspension of checks during faults

    void suspendUntil(double time) {
        suspendedUntil = time;
    }

    void setFaultActive(boolean isActive) {
        isFaultActive = isActive;
    }

    boolean isSuspended(double now) {
        return isFaultActive || now < suspendedUntil;
    }
}
