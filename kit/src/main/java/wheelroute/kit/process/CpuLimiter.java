package wheelroute.kit.process;

import wheelroute.net.loop.EventLoop;

/**
 * Limits the CPU time of dispatchers by pausing and resuming their processes periodically. Used on
 * the event loop's thread.
 */
final class CpuLimiter {
    /**
     * Length of one cycle of running and pausing; short compared to all time limits of the
     * dispatcher.
     */
    private static final double PERIOD_SECONDS = 0.02;

    private final EventLoop loop;
    private final ProcessPauser pauser;

    CpuLimiter(EventLoop loop, ProcessPauser pauser) {
        this.loop = loop;
        this.pauser = pauser;
    }

    /**
     * Limits the CPU time of a dispatcher from now on.
     *
     * @param cpuShare fraction of the time during which the processes run; 1 for no limit
     */
    void limit(DispatcherSlot slot, double cpuShare) {
        slot.setCpuShare(cpuShare);
        if (cpuShare < 1 && !slot.isCpuLimited()) {
            slot.setCpuLimited(true);
            beginPhase(slot, true);
        }
    }

    private void beginPhase(DispatcherSlot slot, boolean runs) {
        boolean isUnlimited = slot.cpuShare() >= 1;
        if (!slot.isPaused()) {
            pauser.signalAll(slot, !runs && !isUnlimited);
        }
        if (isUnlimited) {
            slot.setCpuLimited(false);
        } else {
            loop.schedule(
                    PERIOD_SECONDS * (runs ? slot.cpuShare() : 1 - slot.cpuShare()),
                    () -> beginPhase(slot, !runs));
        }
    }
}
