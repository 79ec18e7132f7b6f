package wheelroute.kit.process;

import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.net.loop.EventLoop;

/**
 * Replaces the process of a dispatcher by a new one that takes over its clients, as a deployment
 * does, with the faults that a scenario adds to it. Used on the event loop's thread.
 */
final class ProcessReplacer {
    /** Starts the process that replaces the current one of a dispatcher. */
    interface SuccessorLauncher {
        DaemonProcess start(DispatcherSlot slot, FaultMode how);
    }

    private static final double READY_POLL_SECONDS = 0.05;

    /** A successor that is to be killed is killed within this time after its start. */
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
            DaemonProcess old,
            DaemonProcess successor,
            FaultMode how,
            double deadline) {
        /** Whether the successor has neither become the current process nor been abandoned. */
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

    /** Returns how many replacements were started. */
    int startedCount() {
        return startedCount;
    }

    /** Returns how many replacements were not completed in time. */
    int failedCount() {
        return failedCount;
    }

    /**
     * Starts a replacement. Does nothing if the dispatcher is down or is being replaced: an
     * operator would wait as well.
     *
     * @param limitSeconds after which a replacement that is not complete has failed
     */
    void replace(DispatcherSlot slot, FaultMode how, double limitSeconds) {
        if (slot.processes().size() != 1 || slot.pendingStart() != null || slot.port() == 0) {
            return;
        }
        startedCount++;
        DaemonProcess old = slot.current();
        DaemonProcess successor = launcher.start(slot, how);
        slot.setSuccessor(successor);
        Replacement replacement =
                new Replacement(slot, old, successor, how, loop.now() + limitSeconds);
        if (how == FaultMode.SUCCESSOR_KILLED) {
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
        killBesideOther(replacement.slot, replacement.successor);
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
        switch (replacement.how) {
            case BOTH_PAUSED -> pauseBoth(replacement);
            case PREDECESSOR_KILLED -> killBesideOther(slot, replacement.old);
            default -> terminateOld(replacement);
        }
    }

    private void pauseBoth(Replacement replacement) {
        DispatcherSlot slot = replacement.slot;
        listener.onSplit(slot.number(), true);
        pauser.setPaused(slot, true);
        loop.schedule(
                BOTH_PAUSED_SECONDS,
                () -> {
                    if (slot.current() == replacement.successor && slot.isPaused()) {
                        pauser.setPaused(slot, false);
                        loop.schedule(
                                ProcessPauser.RESUME_DELAY_SECONDS,
                                () -> listener.onSplit(slot.number(), false));
                        terminateOld(replacement);
                    }
                });
    }

    /** Kills one of two processes; the other one goes on. */
    private void killBesideOther(DispatcherSlot slot, DaemonProcess process) {
        slot.setKilledBesideOther(process);
        listener.onSplit(slot.number(), true);
        process.kill();
    }

    private void terminateOld(Replacement replacement) {
        DaemonProcess old = replacement.old;
        old.terminate();
        loop.schedule(
                Math.max(0, replacement.deadline - loop.now()),
                () -> {
                    if (replacement.slot.processes().contains(old)) {
                        failedCount++;
                        killBesideOther(replacement.slot, old);
                    }
                });
    }
}
