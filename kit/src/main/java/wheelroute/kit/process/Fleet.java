package wheelroute.kit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.DaemonConfigFile;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.EventLoop;

/**
 * The dispatchers of a run: each is one process, or two while one takes the other's place. Used on
 * the loop's thread only, but for its end.
 */
final class Fleet {
    /** What others have to know of the processes. */
    interface Listener {
        /** It takes clients, at this address. */
        void onReady(int dispatcher, InetSocketAddress clients);

        /** One more process of it. */
        void onStarted(int dispatcher, DaemonProcess process);

        /** One less. */
        void onEnded(int dispatcher, DaemonProcess process);

        /** All of its processes are gone; what they held is lost. */
        void onStopped(int dispatcher);

        /**
         * One of its two processes is killed from here until it is gone, or both stand still for a
         * while.
         */
        void onSplit(int dispatcher, boolean begins);

        /** It ended, and nobody had told it to; it is started again, as a supervisor would. */
        void onCrash(int dispatcher, String lastWords);

        void onFailure(String why);
    }

    /** So long a process may take from its start until it takes clients. */
    static final int READY_SECONDS = 30;

    /** One that was told to end and is not gone by then is killed, as the platform would. */
    private static final double GONE = 6;

    private static final int CLOSE_SECONDS = 6;
    private static final int DELETE_TRIES = 5;
    private static final double READY_POLL = 0.05;

    /**
     * A starved process is let run and stopped in turn, once in each of these: short against any
     * limit.
     */
    private static final double STARVATION_PERIOD = 0.02;

    /** The first process of a replacement that is killed dies within this of its start. */
    private static final double NEW_KILLED_WITHIN = 0.6;

    private static final double BOTH_STOPPED = 1;

    /** The signal takes a moment, and what the process then reads another one. */
    private static final double GOES_ON = 0.1;

    private final EventLoop loop;
    private final Scenario scenario;
    private final SeededRandom random;
    private final Map<String, String> pairs;
    private final Path jar;
    private final Path older;
    private final IntFunction<InetSocketAddress> lists;
    private final IntFunction<List<String>> peers;
    private final Listener listener;
    private final Path folder;
    private final ProcessSupervisor supervisor;
    private final List<DispatcherSlot> slots = new ArrayList<>();
    private int notReplaced;
    private int replacements;

    /** One dispatcher: its files, its port, its processes. */
    private final class DispatcherSlot {
        final int number;
        final Path home;
        final Set<DaemonProcess> alive = new HashSet<>();
        DaemonProcess current;

        /** Takes the current one's place. */
        DaemonProcess next;

        int port;
        int starts;
        double share = 1;
        boolean paused;
        boolean hungry;

        /** Killed while another one goes on, and not gone yet. */
        DaemonProcess killedBeside;

        /** To be started once the last process is gone; null for not. */
        FaultMode startsAs;

        DispatcherSlot(int number) throws IOException {
            this.number = number;
            home = Files.createDirectory(folder.resolve("n" + number));
        }
    }

    Fleet(
            EventLoop loop,
            Scenario scenario,
            SeededRandom random,
            Map<String, String> pairs,
            Path jar,
            Path older,
            IntFunction<InetSocketAddress> lists,
            IntFunction<List<String>> peers,
            Listener listener)
            throws IOException {
        this.loop = loop;
        this.scenario = scenario;
        this.random = random;
        this.pairs = pairs;
        this.jar = jar;
        this.older = older;
        this.lists = lists;
        this.peers = peers;
        this.listener = listener;
        folder = Files.createTempDirectory("wheelroute");
        supervisor = new ProcessSupervisor(folder);
        for (int i = 0; i < scenario.dispatcherCount(); i++) {
            slots.add(new DispatcherSlot(i));
        }
    }

    int notReplaced() {
        return notReplaced;
    }

    /** How many replacements were begun. */
    int replacements() {
        return replacements;
    }

    /** Those that run now, of this dispatcher. */
    List<DaemonProcess> processes(int dispatcher) {
        return List.copyOf(slots.get(dispatcher).alive);
    }

    /** Where its newest process hears peers; null while there is none. */
    InetSocketAddress peersOf(int dispatcher) {
        DispatcherSlot slot = slots.get(dispatcher);
        DaemonProcess speaks =
                slot.next != null && slot.next.peers() != 0 ? slot.next : slot.current;
        return speaks == null || speaks.peers() == 0 ? null : address(speaks.peers());
    }

    boolean isPaused(int dispatcher) {
        return slots.get(dispatcher).paused;
    }

    // ---- starts and ends

    void start(int dispatcher, FaultMode how) {
        DispatcherSlot slot = slots.get(dispatcher);
        if (!slot.alive.isEmpty()) {
            // The old one may still be at its end.
            slot.startsAs = how;
            loop.schedule(
                    GONE,
                    () -> {
                        if (slot.startsAs != null) {
                            slot.alive.forEach(DaemonProcess::kill);
                        }
                    });
            return;
        }
        slot.startsAs = null;
        slot.current =
                launch(
                        slot,
                        how,
                        new DaemonProcess.Listener() {
                            @Override
                            public void onReady(DaemonProcess process) {
                                loop.post(
                                        () -> {
                                            if (slot.current == process) {
                                                slot.port = process.port();
                                                listener.onReady(dispatcher, address(slot.port));
                                            }
                                        });
                            }

                            @Override
                            public void onEnded(DaemonProcess process) {
                                loop.post(() -> onGone(slot, process));
                            }
                        });
    }

    static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private DaemonProcess launch(
            DispatcherSlot slot, FaultMode how, DaemonProcess.Listener processHearer) {
        try {
            Map<String, String> own =
                    DaemonSettings.settingsOfDispatcher(scenario, slot.number, pairs);
            if (how == FaultMode.CHANGED_SETTINGS) {
                own.putAll(scenario.changedSettings());
            }
            Path config = slot.home.resolve("config-" + slot.starts + ".json");
            long seed = random.seedOf(SeededRandom.Purpose.STRATEGY, slot.number, slot.starts++);
            Files.writeString(
                    config,
                    new DaemonConfigFile(
                                    "n" + slot.number,
                                    seed,
                                    scenario.limits(),
                                    own,
                                    peers.apply(slot.number))
                            .text());
            Path from = how == FaultMode.OLDER_BUILD && older != null ? older : jar;
            DaemonProcess process =
                    DaemonProcess.start(
                            new DaemonProcess.Spec(
                                    "n" + slot.number,
                                    config,
                                    lists.apply(slot.number),
                                    slot.port,
                                    slot.home,
                                    from,
                                    heapMb()),
                            supervisor,
                            processHearer);
            slot.alive.add(process);
            listener.onStarted(slot.number, process);
            return process;
        } catch (IOException e) {
            listener.onFailure(
                    "dispatcher n" + slot.number + " cannot be started: " + e.getMessage());
            throw new UncheckedIOException(e);
        }
    }

    /** As deploy/run.sh reckons it, without a door: a process beside it is the exception here. */
    private int heapMb() {
        return Math.max(16, Math.min(96, scenario.limits().memoryMb() - 45));
    }

    private void onGone(DispatcherSlot slot, DaemonProcess process) {
        slot.alive.remove(process);
        listener.onEnded(slot.number, process);
        if (process == slot.killedBeside) {
            slot.killedBeside = null;
            listener.onSplit(slot.number, false);
        }
        boolean crashed = process.isWanted();
        if (crashed && slot.port == 0) {
            listener.onFailure(
                    "dispatcher n" + slot.number + " did not start; " + process.lastLines());
            return;
        }
        if (crashed) {
            listener.onCrash(slot.number, process.lastLines());
        }
        if (!slot.alive.isEmpty()) {
            return;
        }
        listener.onStopped(slot.number);
        if (slot.startsAs != null || crashed) {
            start(slot.number, crashed ? FaultMode.USUAL : slot.startsAs);
        }
    }

    void kill(int dispatcher) {
        DispatcherSlot slot = slots.get(dispatcher);
        slot.paused = false;
        slot.next = null;
        slot.startsAs = null;
        slot.alive.forEach(DaemonProcess::kill);
    }

    void terminate(int dispatcher) {
        DispatcherSlot slot = slots.get(dispatcher);
        slot.next = null;
        slot.alive.forEach(DaemonProcess::terminate);
    }

    // ---- standing still, and sharing a core

    void setPaused(int dispatcher, boolean begins) {
        DispatcherSlot slot = slots.get(dispatcher);
        slot.paused = begins;
        slot.alive.forEach(process -> signal(slot, process, begins));
    }

    private void signal(DispatcherSlot slot, DaemonProcess process, boolean stop) {
        try {
            supervisor.setPaused(process.process(), stop);
        } catch (IOException e) {
            listener.onFailure(
                    "dispatcher n"
                            + slot.number
                            + " cannot be stopped or let go on: "
                            + e.getMessage());
        }
    }

    /** From here on it runs for this part of the time; 1 for as it likes. */
    void limitCpu(int dispatcher, double share) {
        DispatcherSlot slot = slots.get(dispatcher);
        slot.share = share;
        if (share < 1 && !slot.hungry) {
            slot.hungry = true;
            round(slot, true);
        }
    }

    private void round(DispatcherSlot slot, boolean runs) {
        boolean fed = slot.share >= 1;
        if (!slot.paused) {
            slot.alive.forEach(process -> signal(slot, process, !runs && !fed));
        }
        if (fed) {
            slot.hungry = false;
        } else {
            loop.schedule(
                    STARVATION_PERIOD * (runs ? slot.share : 1 - slot.share),
                    () -> round(slot, !runs));
        }
    }

    // ---- one process in another's place

    /** It is to be through within the limit; what is not counts as {@link #notReplaced}. */
    void replace(int dispatcher, FaultMode how, double limit) {
        DispatcherSlot slot = slots.get(dispatcher);
        if (slot.alive.size() != 1 || slot.startsAs != null || slot.port == 0) {
            // Down, or in the middle of another: an operator would wait too.
            return;
        }
        replacements++;
        DaemonProcess old = slot.current;
        DaemonProcess next =
                launch(
                        slot,
                        how,
                        new DaemonProcess.Listener() {
                            @Override
                            public void onReady(DaemonProcess process) {
                                // Its door is asked: see below.
                            }

                            @Override
                            public void onEnded(DaemonProcess process) {
                                loop.post(() -> onGone(slot, process));
                            }
                        });
        slot.next = next;
        double due = loop.now() + limit;
        if (how == FaultMode.SUCCESSOR_KILLED) {
            double after =
                    NEW_KILLED_WITHIN
                            * random.uniform(SeededRandom.Purpose.FAULT, slot.number, slot.starts);
            loop.schedule(
                    after,
                    () -> {
                        if (slot.next == next) {
                            slot.next = null;
                            killBeside(slot, next);
                        }
                    });
            return;
        }
        awaitReady(slot, old, next, how, due);
    }

    private void awaitReady(
            DispatcherSlot slot, DaemonProcess old, DaemonProcess next, FaultMode how, double due) {
        if (slot.next != next) {
            return;
        }
        if (loop.now() > due) {
            notReplaced++;
            slot.next = null;
            killBeside(slot, next);
            return;
        }
        Runnable again =
                () -> loop.schedule(READY_POLL, () -> awaitReady(slot, old, next, how, due));
        if (next.adminPort() == 0) {
            again.run();
            return;
        }
        AdminCall.call(
                loop,
                address(next.adminPort()),
                "READY",
                due - loop.now(),
                answer -> {
                    if (answer == null || !answer.startsWith("ok")) {
                        again.run();
                    } else if (slot.next == next) {
                        ready(slot, old, next, how, due);
                    }
                });
    }

    private void ready(
            DispatcherSlot slot, DaemonProcess old, DaemonProcess next, FaultMode how, double due) {
        slot.current = next;
        slot.next = null;
        if (how == FaultMode.BOTH_PAUSED) {
            listener.onSplit(slot.number, true);
            setPaused(slot.number, true);
            loop.schedule(
                    BOTH_STOPPED,
                    () -> {
                        if (slot.current == next && slot.paused) {
                            setPaused(slot.number, false);
                            loop.schedule(GOES_ON, () -> listener.onSplit(slot.number, false));
                            endOld(slot, old, due);
                        }
                    });
        } else if (how == FaultMode.PREDECESSOR_KILLED) {
            killBeside(slot, old);
        } else {
            endOld(slot, old, due);
        }
    }

    /** The other one goes on. */
    private void killBeside(DispatcherSlot slot, DaemonProcess process) {
        slot.killedBeside = process;
        listener.onSplit(slot.number, true);
        process.kill();
    }

    private void endOld(DispatcherSlot slot, DaemonProcess old, double due) {
        old.terminate();
        loop.schedule(
                Math.max(0, due - loop.now()),
                () -> {
                    if (slot.alive.contains(old)) {
                        notReplaced++;
                        killBeside(slot, old);
                    }
                });
    }

    // ---- the end

    /** From any thread: told to end, waited for, killed. */
    void close() {
        List<DaemonProcess> all = slots.stream().flatMap(slot -> slot.alive.stream()).toList();
        for (DispatcherSlot slot : slots) {
            slot.share = 1;
            slot.alive.forEach(process -> signal(slot, process, false));
        }
        all.forEach(DaemonProcess::terminate);
        for (DaemonProcess process : all) {
            try {
                if (!process.process().waitFor(CLOSE_SECONDS, TimeUnit.SECONDS)) {
                    process.kill();
                }
            } catch (InterruptedException e) {
                process.kill();
                Thread.currentThread().interrupt();
            }
        }
        supervisor.close();
        delete(folder);
    }

    /** Notes of processes that ended a moment ago may go at the same time: then once more. */
    private static void delete(Path folder) {
        for (int i = 0; i < DELETE_TRIES && Files.exists(folder); i++) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            } catch (IOException | UncheckedIOException e) {
                // It lies where the system clears up.
                folder.toFile().deleteOnExit();
            }
        }
    }
}
