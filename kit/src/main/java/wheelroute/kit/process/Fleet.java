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
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.EventLoop;

/**
 * The dispatchers of a run: each is one process, or two while one takes the other's place. Used on
 * the loop's thread only, but for its end.
 */
final class Fleet {
    /** What others have to know of the processes. */
    interface Listener {
        /** It takes clients, at this address. */
        void up(int dispatcher, InetSocketAddress clients);

        /** One more process of it. */
        void began(int dispatcher, DaemonProcess process);

        /** One less. */
        void ended(int dispatcher, DaemonProcess process);

        /** All of its processes are gone; what they held is lost. */
        void down(int dispatcher);

        /**
         * One of its two processes is killed from here until it is gone, or both stand still for a
         * while.
         */
        void halves(int dispatcher, boolean begins);

        /** It ended, and nobody had told it to; it is started again, as a supervisor would. */
        void crashed(int dispatcher, String lastWords);

        void failed(String why);
    }

    /** So long a process may take from its start until it takes clients. */
    static final int READY_SECONDS = 30;

    /** One that was told to end and is not gone by then is killed, as the platform would. */
    private static final double GONE = 6;

    private static final int CLOSE_SECONDS = 6;
    private static final int DELETE_TRIES = 5;
    private static final double READY_LOOK = 0.05;

    /**
     * A starved process is let run and stopped in turn, once in each of these: short against any
     * limit.
     */
    private static final double HUNGER_ROUND = 0.02;

    /** The first process of a replacement that is killed dies within this of its start. */
    private static final double NEW_KILLED_WITHIN = 0.6;

    private static final double BOTH_STOPPED = 1;

    /** The signal takes a moment, and what the process then reads another one. */
    private static final double GOES_ON = 0.1;

    private final EventLoop loop;
    private final Scenario scenario;
    private final SeededRandom chance;
    private final Map<String, String> pairs;
    private final Path jar;
    private final Path older;
    private final IntFunction<InetSocketAddress> lists;
    private final IntFunction<List<String>> peers;
    private final Listener hearer;
    private final Path folder;
    private final ProcessSupervisor keeper;
    private final List<DispatcherSlot> places = new ArrayList<>();
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
        Scenario.How startsAs;

        DispatcherSlot(int number) throws IOException {
            this.number = number;
            home = Files.createDirectory(folder.resolve("n" + number));
        }
    }

    Fleet(
            EventLoop loop,
            Scenario scenario,
            SeededRandom chance,
            Map<String, String> pairs,
            Path jar,
            Path older,
            IntFunction<InetSocketAddress> lists,
            IntFunction<List<String>> peers,
            Listener hearer)
            throws IOException {
        this.loop = loop;
        this.scenario = scenario;
        this.chance = chance;
        this.pairs = pairs;
        this.jar = jar;
        this.older = older;
        this.lists = lists;
        this.peers = peers;
        this.hearer = hearer;
        folder = Files.createTempDirectory("wheelroute");
        keeper = new ProcessSupervisor(folder);
        for (int i = 0; i < scenario.dispatchers(); i++) {
            places.add(new DispatcherSlot(i));
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
        return List.copyOf(places.get(dispatcher).alive);
    }

    /** Where its newest process hears peers; null while there is none. */
    InetSocketAddress peersOf(int dispatcher) {
        DispatcherSlot place = places.get(dispatcher);
        DaemonProcess speaks =
                place.next != null && place.next.peers() != 0 ? place.next : place.current;
        return speaks == null || speaks.peers() == 0 ? null : address(speaks.peers());
    }

    boolean isStill(int dispatcher) {
        return places.get(dispatcher).paused;
    }

    // ---- starts and ends

    void start(int dispatcher, Scenario.How how) {
        DispatcherSlot place = places.get(dispatcher);
        if (!place.alive.isEmpty()) {
            // The old one may still be at its end.
            place.startsAs = how;
            loop.schedule(
                    GONE,
                    () -> {
                        if (place.startsAs != null) {
                            place.alive.forEach(DaemonProcess::kill);
                        }
                    });
            return;
        }
        place.startsAs = null;
        place.current =
                launch(
                        place,
                        how,
                        new DaemonProcess.Listener() {
                            @Override
                            public void up(DaemonProcess process) {
                                loop.post(
                                        () -> {
                                            if (place.current == process) {
                                                place.port = process.port();
                                                hearer.up(dispatcher, address(place.port));
                                            }
                                        });
                            }

                            @Override
                            public void ended(DaemonProcess process) {
                                loop.post(() -> gone(place, process));
                            }
                        });
    }

    static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private DaemonProcess launch(
            DispatcherSlot place, Scenario.How how, DaemonProcess.Listener processHearer) {
        try {
            Map<String, String> own = DaemonSettings.pairsOf(scenario, place.number, pairs);
            if (how == Scenario.How.CHANGED) {
                own.putAll(scenario.changed());
            }
            Path config = place.home.resolve("config-" + place.starts + ".json");
            long seed = chance.key(SeededRandom.Purpose.BRAIN, place.number, place.starts++);
            Files.writeString(
                    config,
                    DaemonSettings.file(
                            "n" + place.number,
                            seed,
                            scenario.limits().memoryMb(),
                            scenario.limits().sockets(),
                            own,
                            peers.apply(place.number)));
            Path from = how == Scenario.How.OLDER && older != null ? older : jar;
            DaemonProcess process =
                    DaemonProcess.start(
                            new DaemonProcess.Spec(
                                    "n" + place.number,
                                    config,
                                    lists.apply(place.number),
                                    place.port,
                                    place.home,
                                    from,
                                    heapMb()),
                            keeper,
                            processHearer);
            place.alive.add(process);
            hearer.began(place.number, process);
            return process;
        } catch (IOException e) {
            hearer.failed("dispatcher n" + place.number + " cannot be started: " + e.getMessage());
            throw new UncheckedIOException(e);
        }
    }

    /** As deploy/run.sh reckons it, without a door: a process beside it is the exception here. */
    private int heapMb() {
        return Math.max(16, Math.min(96, scenario.limits().memoryMb() - 45));
    }

    private void gone(DispatcherSlot place, DaemonProcess process) {
        place.alive.remove(process);
        hearer.ended(place.number, process);
        if (process == place.killedBeside) {
            place.killedBeside = null;
            hearer.halves(place.number, false);
        }
        boolean crashed = process.isWanted();
        if (crashed && place.port == 0) {
            hearer.failed("dispatcher n" + place.number + " did not start; " + process.lastLines());
            return;
        }
        if (crashed) {
            hearer.crashed(place.number, process.lastLines());
        }
        if (!place.alive.isEmpty()) {
            return;
        }
        hearer.down(place.number);
        if (place.startsAs != null || crashed) {
            start(place.number, crashed ? Scenario.How.USUAL : place.startsAs);
        }
    }

    void kill(int dispatcher) {
        DispatcherSlot place = places.get(dispatcher);
        place.paused = false;
        place.next = null;
        place.startsAs = null;
        place.alive.forEach(DaemonProcess::kill);
    }

    void end(int dispatcher) {
        DispatcherSlot place = places.get(dispatcher);
        place.next = null;
        place.alive.forEach(DaemonProcess::end);
    }

    // ---- standing still, and sharing a core

    void pause(int dispatcher, boolean begins) {
        DispatcherSlot place = places.get(dispatcher);
        place.paused = begins;
        place.alive.forEach(process -> signal(place, process, begins));
    }

    private void signal(DispatcherSlot place, DaemonProcess process, boolean stop) {
        try {
            keeper.pause(process.process(), stop);
        } catch (IOException e) {
            hearer.failed(
                    "dispatcher n"
                            + place.number
                            + " cannot be stopped or let go on: "
                            + e.getMessage());
        }
    }

    /** From here on it runs for this part of the time; 1 for as it likes. */
    void starve(int dispatcher, double share) {
        DispatcherSlot place = places.get(dispatcher);
        place.share = share;
        if (share < 1 && !place.hungry) {
            place.hungry = true;
            round(place, true);
        }
    }

    private void round(DispatcherSlot place, boolean runs) {
        boolean fed = place.share >= 1;
        if (!place.paused) {
            place.alive.forEach(process -> signal(place, process, !runs && !fed));
        }
        if (fed) {
            place.hungry = false;
        } else {
            loop.schedule(
                    HUNGER_ROUND * (runs ? place.share : 1 - place.share),
                    () -> round(place, !runs));
        }
    }

    // ---- one process in another's place

    /** It is to be through within the limit; what is not counts as {@link #notReplaced}. */
    void replace(int dispatcher, Scenario.How how, double limit) {
        DispatcherSlot place = places.get(dispatcher);
        if (place.alive.size() != 1 || place.startsAs != null || place.port == 0) {
            // Down, or in the middle of another: an operator would wait too.
            return;
        }
        replacements++;
        DaemonProcess old = place.current;
        DaemonProcess next =
                launch(
                        place,
                        how,
                        new DaemonProcess.Listener() {
                            @Override
                            public void up(DaemonProcess process) {
                                // Its door is asked: see below.
                            }

                            @Override
                            public void ended(DaemonProcess process) {
                                loop.post(() -> gone(place, process));
                            }
                        });
        place.next = next;
        double due = loop.now() + limit;
        if (how == Scenario.How.NEW_KILLED) {
            double after =
                    NEW_KILLED_WITHIN
                            * chance.once(SeededRandom.Purpose.FAULT, place.number, place.starts);
            loop.schedule(
                    after,
                    () -> {
                        if (place.next == next) {
                            place.next = null;
                            killBeside(place, next);
                        }
                    });
            return;
        }
        awaitReady(place, old, next, how, due);
    }

    private void awaitReady(
            DispatcherSlot place,
            DaemonProcess old,
            DaemonProcess next,
            Scenario.How how,
            double due) {
        if (place.next != next) {
            return;
        }
        if (loop.now() > due) {
            notReplaced++;
            place.next = null;
            killBeside(place, next);
            return;
        }
        Runnable again =
                () -> loop.schedule(READY_LOOK, () -> awaitReady(place, old, next, how, due));
        if (next.door() == 0) {
            again.run();
            return;
        }
        AdminCall.ask(
                loop,
                address(next.door()),
                "READY",
                due - loop.now(),
                answer -> {
                    if (answer == null || !answer.startsWith("ok")) {
                        again.run();
                    } else if (place.next == next) {
                        ready(place, old, next, how, due);
                    }
                });
    }

    private void ready(
            DispatcherSlot place,
            DaemonProcess old,
            DaemonProcess next,
            Scenario.How how,
            double due) {
        place.current = next;
        place.next = null;
        if (how == Scenario.How.BOTH_STOPPED) {
            hearer.halves(place.number, true);
            pause(place.number, true);
            loop.schedule(
                    BOTH_STOPPED,
                    () -> {
                        if (place.current == next && place.paused) {
                            pause(place.number, false);
                            loop.schedule(GOES_ON, () -> hearer.halves(place.number, false));
                            endOld(place, old, due);
                        }
                    });
        } else if (how == Scenario.How.OLD_KILLED) {
            killBeside(place, old);
        } else {
            endOld(place, old, due);
        }
    }

    /** The other one goes on. */
    private void killBeside(DispatcherSlot place, DaemonProcess process) {
        place.killedBeside = process;
        hearer.halves(place.number, true);
        process.kill();
    }

    private void endOld(DispatcherSlot place, DaemonProcess old, double due) {
        old.end();
        loop.schedule(
                Math.max(0, due - loop.now()),
                () -> {
                    if (place.alive.contains(old)) {
                        notReplaced++;
                        killBeside(place, old);
                    }
                });
    }

    // ---- the end

    /** From any thread: told to end, waited for, killed. */
    void close() {
        List<DaemonProcess> all = places.stream().flatMap(place -> place.alive.stream()).toList();
        for (DispatcherSlot place : places) {
            place.share = 1;
            place.alive.forEach(process -> signal(place, process, false));
        }
        all.forEach(DaemonProcess::end);
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
        keeper.close();
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
