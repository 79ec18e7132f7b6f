package wheelroute.kit.audit;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The metrics reported by a dispatcher's processes, and the observations of clients and workers.
 */
final class DispatcherMetrics {
    /** The observed events of one metric, over all processes of the dispatcher. */
    static final class Count {
        final CounterHistory observed = new CounterHistory();

        /** The minimum number of observed events that ended processes have counted. */
        long minInEndedProcesses;

        /** The maximum number of observed events that ended processes have counted. */
        long maxInEndedProcesses;
    }

    /** The metrics in the last report of a process. */
    private static final class ReportedMetrics {
        final Map<String, Long> values = new HashMap<>();
        boolean isReceived;
    }

    final Map<String, Count> counts = new LinkedHashMap<>();
    final CounterHistory pending = new CounterHistory();

    /** Requests whose response was not received; the count of any response may include them. */
    final CounterHistory unattributed = new CounterHistory();

    /** Whether attempts that were sent by a running process may have been lost on a link. */
    boolean mayHaveLostAttempts;

    private final Map<Object, ReportedMetrics> processes = new LinkedHashMap<>();
    private double suspendedUntil = Double.NEGATIVE_INFINITY;
    private boolean isFaultActive;

    Count count(String name) {
        return counts.computeIfAbsent(name, key -> new Count());
    }

    /**
     * Adds a process; if no other is running, all events observed so far belong to ended processes.
     */
    void addProcess(Object process) {
        if (processes.isEmpty()) {
            for (Count count : counts.values()) {
                count.minInEndedProcesses = count.observed.current();
                count.maxInEndedProcesses = count.observed.current();
            }
            mayHaveLostAttempts = false;
        }
        processes.put(process, new ReportedMetrics());
    }

    /** Removes a process and returns its last reported metrics; null for an unknown process. */
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

    /** Returns the sums of the last reported metrics of all processes. */
    Map<String, Long> sums() {
        Map<String, Long> sums = new HashMap<>();
        Collection<ReportedMetrics> all = processes.values();
        all.forEach(
                each -> each.values.forEach((name, value) -> sums.merge(name, value, Long::sum)));
        return sums;
    }

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
