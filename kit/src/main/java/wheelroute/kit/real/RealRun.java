package wheelroute.kit.real;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import wheelroute.config.ConfigException;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.many.Harm;
import wheelroute.kit.many.Links;
import wheelroute.kit.many.Relay;
import wheelroute.kit.many.Way;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.world.Chance;
import wheelroute.kit.world.Clients;
import wheelroute.kit.world.Submitted;
import wheelroute.kit.world.WorkerModel;
import wheelroute.kit.world.World;
import wheelroute.net.Clock;
import wheelroute.net.Loop;

/** One run on the real clock: stand-ins on one thread of this process, each daemon a process of its own. */
public final class RealRun {
    /** What a loopback way, a timer and a busy core may add to a time before a rule counts as broken. */
    private static final double SLACK = 0.1;
    /** From the last daemon's readiness to the first ask: the list has to reach it. */
    private static final double SETTLE = 0.7;
    private static final double AFTERWARDS = 1;
    private static final double TICK = 0.01;
    private static final double MICROS = 1e6;
    private static final long MOST_MICROS = 600_000_000;
    private static final double CONNECT = 1;
    private static final int POLL_MILLIS = 50;
    private static final double TELL_EVERY = 5;
    private static final int MEMORY_MB = 192;
    private static final int HEAP_MB = 96;
    private static final int SOCKETS = 4096;
    private static final int HOP_SECONDS = 20;

    private final Scenario scenario;
    private final double seconds;
    private final Map<String, String> pairs;
    private final Path jar;
    private final Chance chance;
    private final Loop loop = new Loop(new Clock(), CONNECT);
    private final RealTime time = new RealTime(loop);
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final List<ClientPool> pools = new ArrayList<>();
    private final Histogram lags = new Histogram(MOST_MICROS, 3);
    private boolean[] listens;
    private Path folder;
    private Auditor auditor;
    private Recorder recorder;
    private World world;
    private Clients clients;
    private List<StandInList> lists;
    /** Where ways can be harmed all of them lead through relays, else none does. */
    private final Map<Way, Relay> relays = new HashMap<>();
    private final Links links = new Links((way, passage) -> relays.get(way).set(passage));
    private final Set<Integer> paused = new HashSet<>();
    private volatile boolean over;
    private volatile String failure;

    private RealRun(Scenario scenario, long seed, double seconds, Map<String, String> variant, Path jar) {
        this.scenario = scenario;
        this.seconds = seconds;
        this.jar = jar;
        chance = new Chance(seed);
        pairs = DaemonSettings.pairs(scenario, variant);
    }

    /** Plays it to its end, or until it is told to stop; tells of its progress now and then. */
    public static Report play(Scenario scenario, long seed, double seconds, Map<String, String> variant,
            String variantName, Path jar, BooleanSupplier stop, Consumer<String> progress)
            throws RehearsalException, ConfigException {
        RealRun run = new RealRun(scenario, seed, seconds, variant, jar);
        // A fault in the settings is told before anything is started.
        DaemonSettings.settings(seed, run.pairs);
        boolean partial;
        try {
            run.begin();
            partial = run.watch(stop, progress);
            return run.onLoop(() -> run.report(variantName, seed, partial));
        } catch (Exception e) {
            if (e instanceof RehearsalException known) {
                throw known;
            }
            throw new RehearsalException("the run broke off: " + e);
        } finally {
            run.close();
        }
    }

    private interface Step<T> {
        T run() throws Exception;
    }

    /** Runs it on the stand-ins' thread and waits for it. */
    private <T> T onLoop(Step<T> step) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(() -> {
            try {
                done.complete(step.run());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get(HOP_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        } catch (TimeoutException e) {
            throw new RehearsalException("this machine is too busy: nothing ran for " + HOP_SECONDS + " s");
        }
    }

    private void begin() throws Exception {
        loop.start();
        listens = new boolean[scenario.dispatchers()];
        onLoop(() -> {
            auditor = new Auditor(scenario, time, SLACK);
            recorder = new Recorder(scenario, time, seconds, auditor);
            world = new World(scenario, time, chance, seconds, recorder);
            clients = new Clients(scenario, time, chance, seconds, new Doors(), recorder);
            List<StandInWorker> workers = new ArrayList<>();
            for (WorkerModel model : world.workers) {
                workers.add(new StandInWorker(loop, model, auditor, anyPort()));
            }
            lists = new ArrayList<>();
            boolean relayed = scenario.faults().stream().anyMatch(f -> f.kind().isAboutWays());
            for (int i = 0; i < scenario.dispatchers(); i++) {
                int dispatcher = i;
                for (int j = 0; relayed && j < workers.size(); j++) {
                    relays.put(new Way(i, j), new Relay(loop, workers.get(j)::address));
                }
                // Each is told addresses of its own: no message has to be written anew on the way.
                lists.add(new StandInList(loop, i, world.registry, auditor, scenario, n -> relayed
                        ? relays.get(new Way(dispatcher, n)).address() : workers.get(n).address(),
                        anyPort()));
                if (relayed) {
                    relays.put(Way.toList(i), new Relay(loop, lists.get(i)::address));
                }
            }
            return null;
        });
        folder = Files.createTempDirectory("wheelroute-rehearsal");
        CompletableFuture<?>[] ready = new CompletableFuture<?>[scenario.dispatchers()];
        for (int i = 0; i < scenario.dispatchers(); i++) {
            Path config = folder.resolve("n" + i + ".json");
            Files.writeString(config, DaemonSettings.file("n" + i, chance.key(Chance.Of.BRAIN, i, 0),
                    MEMORY_MB, SOCKETS, DaemonSettings.pairsOf(i, pairs)));
            Relay list = relays.get(Way.toList(i));
            daemons.add(new DaemonProcess("n" + i, config, list == null ? lists.get(i).address()
                    : list.address(), jar, HEAP_MB));
            pools.add(null);
            CompletableFuture<Void> up = new CompletableFuture<>();
            ready[i] = up;
            start(i, () -> up.complete(null));
        }
        try {
            CompletableFuture.allOf(ready).get(DaemonProcess.readySeconds(), TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new RehearsalException("a dispatcher is not up after " + DaemonProcess.readySeconds()
                    + " s");
        }
        failIfFailed();
        onLoop(() -> {
            loop.later(SETTLE, this::beginAsking);
            return null;
        });
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private void start(int number, Runnable up) throws IOException {
        daemons.get(number).start(port -> loop.post(() -> {
            if (port < 0) {
                failure = "dispatcher n" + number + " did not start; " + daemons.get(number).lastLines();
            } else {
                InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
                pools.set(number, new ClientPool(loop, address, clients));
                auditor.dispatcherBorn(number);
                listens[number] = true;
            }
            up.run();
        }), () -> failure = "dispatcher n" + number + " ended unasked; " + daemons.get(number).lastLines());
    }

    private void beginAsking() {
        world.begin(new Faults());
        recorder.begins(world, clients);
        tick(loop.now() + TICK);
        look();
    }

    private void look() {
        if (clients.isOver()) {
            loop.later(AFTERWARDS, () -> over = true);
        } else {
            loop.later(TICK, this::look);
        }
    }

    /** How late this machine runs our own timers. */
    private void tick(double due) {
        loop.later(due - loop.now(), () -> {
            lags.recordValue((long) Math.min(MOST_MICROS, Math.max(0, MICROS * (loop.now() - due))));
            tick(loop.now() + TICK);
        });
    }

    private boolean watch(BooleanSupplier stop, Consumer<String> progress) throws Exception {
        double last = 0;
        long begun = System.nanoTime();
        while (!over) {
            failIfFailed();
            if (stop.getAsBoolean()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
            double passed = (System.nanoTime() - begun) / 1e9;
            if (passed - last >= TELL_EVERY) {
                last = passed;
                progress.accept(onLoop(() -> String.format(Locale.ROOT, "%.0f s of %.0f s: %d asked", passed,
                        seconds, recorder.tally().asks())));
            }
        }
        return false;
    }

    private void failIfFailed() throws RehearsalException {
        if (failure != null) {
            throw new RehearsalException(failure);
        }
    }

    private Report report(String variantName, long seed, boolean partial) throws RehearsalException {
        if (recorder.tally().asks() == 0) {
            throw new RehearsalException("it was stopped before anything was asked");
        }
        auditor.finish();
        Report.Run run = new Report.Run(scenario.name(), scenario.title(), "real", variantName, seed, seconds,
                scenario.workers(), scenario.dispatchers());
        Report.Lag lag = new Report.Lag(lags.getValueAtPercentile(99) / MICROS, lags.getMaxValue() / MICROS);
        return Report.of(run, recorder, auditor, world, lag, partial);
    }

    private void close() {
        paused.forEach(i -> signal(i, false));
        // A dispatcher that is alone serves for as long as its clients stay.
        loop.post(() -> pools.stream().filter(pool -> pool != null).forEach(ClientPool::closeIdle));
        daemons.forEach(DaemonProcess::end);
        daemons.forEach(DaemonProcess::await);
        try {
            loop.stop();
        } catch (Exception e) {
            // The process of the rehearsal goes on without it.
            Thread.currentThread().interrupt();
        }
        if (folder != null) {
            DaemonProcess.delete(folder);
        }
    }

    private final class Doors implements Clients.Door {
        @Override
        public void submit(Submitted submitted) {
            pools.get(submitted.dispatcher()).submit(submitted);
        }

        @Override
        public void hangUp(Submitted submitted) {
            pools.get(submitted.dispatcher()).hangUp(submitted);
        }

        @Override
        public boolean isOpen(int dispatcher) {
            return listens[dispatcher];
        }
    }

    private void signal(int dispatcher, boolean stop) {
        try {
            daemons.get(dispatcher).pause(stop);
        } catch (IOException e) {
            failure = "dispatcher n" + dispatcher + " cannot be stopped or let go on: " + e.getMessage();
        }
    }

    private final class Faults implements World.Dispatchers {
        @Override
        public void pause(int dispatcher, boolean begins) {
            if (begins) {
                paused.add(dispatcher);
                auditor.dispatcherPaused(dispatcher);
                signal(dispatcher, true);
            } else if (paused.remove(dispatcher)) {
                signal(dispatcher, false);
                // The signal takes a moment, and what the process then reads another one.
                loop.later(SLACK, () -> auditor.dispatcherWoke(dispatcher));
            }
        }

        @Override
        public void harm(Scenario.Fault fault, int dispatcher, boolean begins) {
            List<Way> ways = new ArrayList<>();
            if (fault.kind() == Scenario.Kind.LIST_CUT) {
                ways.add(Way.toList(dispatcher));
            } else {
                world.workers.stream().filter(w -> fault.group().isEmpty()
                        || w.group.name().equals(fault.group())).forEach(w -> ways.add(new Way(dispatcher,
                        w.number)));
            }
            Harm harm = switch (fault.kind()) {
                case LINK_REFUSE -> Harm.REFUSE;
                case LINK_ONE_WAY -> Harm.ONE_WAY;
                case LINK_SLOW -> Harm.SLOW;
                default -> Harm.CUT;
            };
            if (begins) {
                links.begin(harm, fault.level(), ways);
            } else {
                links.heal(harm, fault.level(), ways);
            }
        }

        @Override
        public void kill(int dispatcher) {
            listens[dispatcher] = false;
            auditor.dispatcherDied(dispatcher);
            pools.get(dispatcher).died();
            daemons.get(dispatcher).kill();
        }

        @Override
        public void end(int dispatcher) {
            listens[dispatcher] = false;
            daemons.get(dispatcher).end();
        }

        /** Waiting for the old process must not hold up the stand-ins. */
        @Override
        public void start(int dispatcher) {
            Thread starter = new Thread(() -> {
                daemons.get(dispatcher).await();
                loop.post(() -> auditor.dispatcherDied(dispatcher));
                try {
                    RealRun.this.start(dispatcher, () -> { });
                } catch (IOException e) {
                    failure = "dispatcher n" + dispatcher + " cannot be started again: " + e.getMessage();
                }
            }, "starter");
            starter.setDaemon(true);
            starter.start();
        }
    }
}
