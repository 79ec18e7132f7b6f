package wheelroute.kit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.net.loop.EventLoop;

/**
 * Manages the dispatchers of a run, by number. It starts and stops their processes and restarts a
 * dispatcher that has crashed. Used on the event loop's thread, except for {@link #close}.
 */
final class Fleet {
    /** Time within which all dispatchers must accept clients after their first start. */
    static final int READY_TIMEOUT_SECONDS = 30;

    /** Time after which a terminated process is killed, as a deployment platform does. */
    private static final double KILL_AFTER_SECONDS = 6;

    private static final int CLOSE_TIMEOUT_SECONDS = 6;
    private static final int MAX_DELETE_ATTEMPTS = 5;

    private final EventLoop loop;
    private final FleetListener listener;
    private final Path directory;
    private final ProcessSupervisor supervisor;
    private final DaemonLauncher launcher;
    private final ProcessPauser pauser;
    private final CpuLimiter cpuLimiter;
    private final ProcessReplacer replacer;
    private final List<DispatcherSlot> slots = new ArrayList<>();

    /** Creates the directories of all dispatchers; no process is started yet. */
    Fleet(EventLoop loop, FleetSpec spec, FleetListener listener) throws IOException {
        this.loop = loop;
        this.listener = listener;
        directory = Files.createTempDirectory("wheelroute");
        supervisor = new ProcessSupervisor(directory);
        launcher = new DaemonLauncher(spec, supervisor);
        pauser = new ProcessPauser(supervisor, listener::onFailure);
        cpuLimiter = new CpuLimiter(loop, pauser);
        replacer =
                new ProcessReplacer(
                        loop,
                        spec.random(),
                        pauser,
                        // Ignores the readiness that the log shows, because the replacer polls the
                        // admin server of a successor for its readiness.
                        (slot, mode) -> startProcess(slot, mode, process -> {}),
                        listener);
        for (int i = 0; i < spec.scenario().dispatcherCount(); i++) {
            slots.add(new DispatcherSlot(i, Files.createDirectory(directory.resolve("n" + i))));
        }
    }

    /** Returns the number of process replacements that were started. */
    int replacements() {
        return replacer.startedCount();
    }

    /** Returns the number of process replacements that were not completed in time. */
    int failedReplacements() {
        return replacer.failedCount();
    }

    /** Returns a copy of the list of running processes of a dispatcher. */
    List<DaemonProcess> processes(int dispatcher) {
        return slots.get(dispatcher).processes();
    }

    /**
     * Returns the address on which the newest process of a dispatcher receives gossip; null if
     * there is none.
     */
    InetSocketAddress peerAddress(int dispatcher) {
        DispatcherSlot slot = slots.get(dispatcher);
        DaemonProcess successor = slot.successor();
        DaemonProcess newest =
                successor != null && successor.peerPort() != 0 ? successor : slot.current();
        return newest == null || newest.peerPort() == 0
                ? null
                : Loopback.address(newest.peerPort());
    }

    boolean isPaused(int dispatcher) {
        return slots.get(dispatcher).isPaused();
    }

    /**
     * Starts a dispatcher as soon as its last process has ended; kills a process that takes too
     * long to end.
     */
    void start(int dispatcher, FaultMode mode) {
        DispatcherSlot slot = slots.get(dispatcher);
        if (!slot.processes().isEmpty()) {
            slot.setPendingStart(mode);
            loop.schedule(
                    KILL_AFTER_SECONDS,
                    () -> {
                        if (slot.pendingStart() != null) {
                            slot.processes().forEach(DaemonProcess::kill);
                        }
                    });
            return;
        }
        slot.setPendingStart(null);
        slot.setCurrent(startProcess(slot, mode, process -> onReady(slot, process)));
    }

    private void onReady(DispatcherSlot slot, DaemonProcess process) {
        if (slot.current() == process) {
            slot.setPort(process.port());
            listener.onReady(slot.number(), Loopback.address(slot.port()));
        }
    }

    private DaemonProcess startProcess(
            DispatcherSlot slot, FaultMode mode, Consumer<DaemonProcess> onReady) {
        try {
            DaemonProcess process =
                    launcher.start(
                            slot,
                            mode,
                            new DaemonProcess.Listener() {
                                @Override
                                public void onReady(DaemonProcess ready) {
                                    loop.post(() -> onReady.accept(ready));
                                }

                                @Override
                                public void onEnded(DaemonProcess ended) {
                                    loop.post(() -> onProcessEnded(slot, ended));
                                }
                            });
            slot.add(process);
            listener.onStarted(slot.number(), process);
            return process;
        } catch (IOException e) {
            listener.onFailure(
                    "dispatcher " + slot.name() + " cannot be started: " + e.getMessage());
            throw new UncheckedIOException(e);
        }
    }

    private void onProcessEnded(DispatcherSlot slot, DaemonProcess process) {
        slot.remove(process);
        listener.onEnded(slot.number(), process);
        if (process == slot.killedDuringReplacement()) {
            slot.setKilledDuringReplacement(null);
            listener.onPartialOutage(slot.number(), false);
        }
        boolean hasCrashed = process.isExpectedToRun();
        if (hasCrashed && slot.port() == 0) {
            listener.onFailure(
                    "dispatcher " + slot.name() + " did not start; " + process.logExcerpt());
            return;
        }
        if (hasCrashed) {
            listener.onCrash(slot.number(), process.logExcerpt());
        }
        if (!slot.processes().isEmpty()) {
            return;
        }
        listener.onStopped(slot.number());
        if (slot.pendingStart() != null || hasCrashed) {
            start(slot.number(), hasCrashed ? FaultMode.UNCHANGED : slot.pendingStart());
        }
    }

    /** Kills all processes of a dispatcher and cancels its pending start and replacement. */
    void kill(int dispatcher) {
        DispatcherSlot slot = slots.get(dispatcher);
        slot.setPaused(false);
        slot.setSuccessor(null);
        slot.setPendingStart(null);
        slot.processes().forEach(DaemonProcess::kill);
    }

    /** Requests a graceful shutdown of all processes of a dispatcher. */
    void terminate(int dispatcher) {
        DispatcherSlot slot = slots.get(dispatcher);
        slot.setSuccessor(null);
        slot.processes().forEach(DaemonProcess::terminate);
    }

    /** Pauses or resumes all processes of a dispatcher until the next such call. */
    void setPaused(int dispatcher, boolean isPaused) {
        pauser.setPaused(slots.get(dispatcher), isPaused);
    }

    /**
     * Limits the CPU time of a dispatcher from now on.
     *
     * @param cpuShare fraction of the time during which the processes run; 1 for no limit
     */
    void limitCpu(int dispatcher, double cpuShare) {
        cpuLimiter.limit(slots.get(dispatcher), cpuShare);
    }

    /** Starts a replacement of the process of a dispatcher; see {@link ProcessReplacer#replace}. */
    void replace(int dispatcher, FaultMode mode, double limitSeconds) {
        replacer.replace(slots.get(dispatcher), mode, limitSeconds);
    }

    /**
     * Shuts down all processes, kills those that do not end in time, and deletes all files. Blocks,
     * so it is not called on the event loop's thread.
     */
    void close() {
        List<DaemonProcess> all =
                slots.stream().flatMap(slot -> slot.processes().stream()).toList();
        for (DispatcherSlot slot : slots) {
            slot.setCpuShare(1);
            pauser.signalAll(slot, false);
        }
        all.forEach(DaemonProcess::terminate);
        all.forEach(Fleet::awaitEnd);
        supervisor.close();
        deleteDirectory();
    }

    private static void awaitEnd(DaemonProcess process) {
        try {
            if (!process.process().waitFor(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.kill();
            }
        } catch (InterruptedException e) {
            process.kill();
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Deletes the directory of the fleet. Tries several times, because the supervisor may delete
     * its own files concurrently.
     */
    private void deleteDirectory() {
        for (int i = 0; i < MAX_DELETE_ATTEMPTS && Files.exists(directory); i++) {
            try {
                TemporaryDirectory.delete(directory);
            } catch (IOException | UncheckedIOException e) {
                // Files that remain are left in the system's directory for temporary files.
                directory.toFile().deleteOnExit();
            }
        }
    }
}
