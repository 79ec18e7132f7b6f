package wheelroute.kit.model;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import wheelroute.kit.scenario.FaultKind;

/**
 * The active faults at dispatchers' processes. If faults of one kind overlap, a dispatcher recovers
 * when the last of them ends.
 */
final class DispatcherFaults {
    private final ClusterModel.DispatcherControl control;
    private final Map<Integer, Set<ClusterModel.ScheduledFault>> outages = new HashMap<>();
    private final Map<Integer, Set<ClusterModel.ScheduledFault>> pauses = new HashMap<>();
    private final Map<Integer, Set<ClusterModel.ScheduledFault>> cpuLimits = new HashMap<>();

    DispatcherFaults(ClusterModel.DispatcherControl control) {
        this.control = control;
    }

    private static Set<ClusterModel.ScheduledFault> faultsOf(
            Map<Integer, Set<ClusterModel.ScheduledFault>> faults, int dispatcher) {
        return faults.computeIfAbsent(dispatcher, key -> new LinkedHashSet<>());
    }

    /** Kills or terminates a dispatcher when a fault begins, and starts it when the fault ends. */
    void setDown(ClusterModel.ScheduledFault fault, int dispatcher, boolean begins) {
        Set<ClusterModel.ScheduledFault> active = faultsOf(outages, dispatcher);
        if (begins) {
            boolean isFirst = active.isEmpty();
            active.add(fault);
            if (fault.fault().kind() == FaultKind.DISPATCHER_KILL) {
                // A dispatcher that is already terminated may still be draining.
                faultsOf(pauses, dispatcher).clear();
                control.kill(dispatcher);
            } else if (isFirst) {
                control.terminate(dispatcher);
            }
        } else if (active.remove(fault) && active.isEmpty()) {
            faultsOf(pauses, dispatcher).clear();
            control.start(dispatcher, fault.fault().mode());
        }
    }

    /**
     * Pauses or resumes a dispatcher. A pause that begins while the dispatcher is down is ignored,
     * also after its restart.
     */
    void setPaused(ClusterModel.ScheduledFault fault, int dispatcher, boolean begins) {
        Set<ClusterModel.ScheduledFault> active = faultsOf(pauses, dispatcher);
        if (begins && faultsOf(outages, dispatcher).isEmpty()) {
            active.add(fault);
            if (active.size() == 1) {
                control.setPaused(dispatcher, true);
            }
        } else if (!begins && active.remove(fault) && active.isEmpty()) {
            control.setPaused(dispatcher, false);
        }
    }

    /** Limits a dispatcher's CPU time to the lowest level of its active faults. */
    void setCpuLimited(ClusterModel.ScheduledFault fault, int dispatcher, boolean begins) {
        Set<ClusterModel.ScheduledFault> active = faultsOf(cpuLimits, dispatcher);
        if (begins) {
            active.add(fault);
        } else {
            active.remove(fault);
        }
        control.limitCpu(
                dispatcher,
                active.stream().mapToDouble(each -> each.fault().level()).min().orElse(1));
    }
}
