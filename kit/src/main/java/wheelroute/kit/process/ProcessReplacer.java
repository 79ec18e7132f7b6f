package wheelroute.kit.process;

import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.net.loop.EventLoop;

/**
 * Replaces the process of a dispatcher by a successor that takes over its clients, as a deployment
 * does, and injects the faults of a scenario into the replacement. Used on the event loop's thread.
 */
final class ProcessReplacer {
    /** Starts the successor of the current process of a dispatcher. */
    interface SuccessorLauncher {
        DaemonProcess start(DispatcherSlot slot, FaultMode mode);
    }

    private static final double READY_POLL_SECONDS = 0.05;

    /**
     * Maximum time from the start of a successor to its kill if the fault mode is {@link
     * FaultMode#SUCCESSOR_KILLED}.
     */
    private static final double MAX_SUCCESSOR_LIFETIME_SECONDS = 0.6;

    private static final double BOTH_PAUSED_SECONDS = 1;

    private final EventLoop loop;
    private final SeededRandom random;
    private final ProcessPauser pauser;
    private final SuccessorLauncher launcher;
    private final FleetListener listener;
    private int startedCount;
    private int failedCount;

    /** A replacement that has not been completed; it fails at its deadline. */
    private record Replacement(
            DispatcherSlot slot,
            DaemonProcess predecessor,
            DaemonProcess successor,
            FaultMode mode,
            double deadline) {
        /**
         * Whether the successor has neither become the current process nor been killed or
         * terminated.
         */
        boolean isPending() {
            return slot.successor() == successor;
        }
    }

    ProcessReplacer(
            EventLoop loop,
            SeededRandom random,
            ProcessPauser pauser,
            SuccessorLauncher launcher,
            FleetListener listener) {
        this.loop = loop;
        this.random = random;
        this.pauser = pauser;
        this.launcher = launcher;
        this.listener = listener;
    }

    /** Returns the number of replacements that were started. */
    int startedCount() {
        return startedCount;
    }

    /** Returns the number of replacements that were not completed in time. */
    int failedCount() {
        return failedCount;
    }

    /**
     * Starts a replacement. Does nothing if the dispatcher is down or is being replaced, because an
     * operator would wait in this case as well.
     *
     * @param limitSeconds time after which a replacement that is not complete has failed
     */
    void replace(DispatcherSlot slot, FaultMode mode, double limitSeconds) {
        if (slot.processes().size() != 1 || slot.pendingStart() != null || slot.port() == 0) {
            return;
        }
        startedCount++;
        DaemonProcess predecessor = slot.current();
        DaemonProcess successor = launcher.start(slot, mode);
        slot.setSuccessor(successor);
        Replacement replacement =
                new Replacement(slot, predecessor, successor, mode, loop.now() + limitSeconds);
        if (mode == FaultMode.SUCCESSOR_KILLED) {
            killSuccessorLater(replacement);
        } else {
            awaitReady(replacement);
        }
    }

    private void killSuccessorLater(Replacement replacement) {
        DispatcherSlot slot = replacement.slot;
        double delaySeconds =
                MAX_SUCCESSOR_LIFETIME_SECONDS
                        * random.uniform(SeededRandom.Purpose.FAULT, slot.number(), slot.starts());
        loop.schedule(
                delaySeconds,
                () -> {
                    if (replacement.isPending()) {
                        abandon(replacement);
                    }
                });
    }

    private void abandon(Replacement replacement) {
        replacement.slot.setSuccessor(null);
        killDuringReplacement(replacement.slot, replacement.successor);
    }

    private void awaitReady(Replacement replacement) {
        if (!replacement.isPending()) {
            return;
        }
        if (loop.now() > replacement.deadline) {
            failedCount++;
            abandon(replacement);
            return;
        }
        DaemonProcess successor = replacement.successor;
        if (successor.adminPort() == 0) {
            pollAgain(replacement);
            return;
        }
        AdminCall.call(
                loop,
                Loopback.address(successor.adminPort()),
                "READY",
                replacement.deadline - loop.now(),
                answer -> {
                    if (answer == null || !answer.startsWith("ok")) {
                        pollAgain(replacement);
                    } else if (replacement.isPending()) {
                        onSuccessorReady(replacement);
                    }
                });
    }

    private void pollAgain(Replacement replacement) {
        loop.schedule(READY_POLL_SECONDS, () -> awaitReady(replacement));
    }

    private void onSuccessorReady(Replacement replacement) {
        DispatcherSlot slot = replacement.slot;
        slot.setCurrent(replacement.successor);
        slot.setSuccessor(null);
        switch (replacement.mode) {
            case BOTH_PAUSED -> pauseBoth(replacement);
            case PREDECESSOR_KILLED -> killDuringReplacement(slot, replacement.predecessor);
            default -> terminatePredecessor(replacement);
        }
    }

    private void pauseBoth(Replacement replacement) {
        DispatcherSlot slot = replacement.slot;
        listener.onPartialOutage(slot.number(), true);
        pauser.setPaused(slot, true);
        loop.schedule(
                BOTH_PAUSED_SECONDS,
                () -> {
                    if (slot.current() == replacement.successor && slot.isPaused()) {
                        pauser.setPaused(slot, false);
                        loop.schedule(
                                ProcessPauser.RESUME_DELAY_SECONDS,
                                () -> listener.onPartialOutage(slot.number(), false));
                        terminatePredecessor(replacement);
                    }
                });
    }

    /** Kills the predecessor or the successor while the other process continues. */
    private void killDuringReplacement(DispatcherSlot slot, DaemonProcess process) {
        slot.setKilledDuringReplacement(process);
        listener.onPartialOutage(slot.number(), true);
        process.kill();
    }

    private void terminatePredecessor(Replacement replacement) {
        DaemonProcess predecessor = replacement.predecessor;
        predecessor.terminate();
        loop.schedule(
                Math.max(0, replacement.deadline - loop.now()),
                () -> {
                    if (replacement.slot.processes().contains(predecessor)) {
                        failedCount++;
                        killDuringReplacement(replacement.slot, predecessor);
                    }
                });
    }
}
