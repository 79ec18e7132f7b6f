package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import wheelroute.config.ConfigException;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.FigureNames;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.Clock;
import wheelroute.net.EventLoop;

/**
 * One run on the real clock: stand-ins on one thread of this process, each daemon a process of its
 * own.
 */
public final class ProcessRun {
    /**
     * What a loopback way, a timer and a busy core may add to a time before a rule counts as
     * broken.
     */
    private static final double SLACK = 0.1;

    /** From the last daemon's readiness to the first ask: the list has to reach it. */
    private static final double SETTLE = 0.7;

    private static final double AFTERWARDS = 1;
    private static final double TICK = 0.01;
    private static final double MICROS = 1e6;
    private static final double MILLIS = 1e3;
    private static final long MOST_MICROS = 600_000_000;
    private static final double CONNECT = 1;
    private static final int POLL_MILLIS = 50;
    private static final double TELL_EVERY = 5;
    private static final int HOP_SECONDS = 20;

    /** No message of ours is larger: what a slow way may add to it. */
    private static final int MESSAGE_SIZE = 1000;

    /** The key of a variant whose dispatchers do not know each other. */
    private static final String NO_PEERS = "no_peers";

    private final Scenario scenario;
    private final double seconds;
    private final Map<String, String> pairs;
    private final boolean peers;
    private final Path jar;
    private final Path older;
    private final SeededRandom random;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT);
    private final EventLoopTimeline time = new EventLoopTimeline(loop);
    private final ClientPool[] pools;
    private final boolean[] listens;
    private final CompletableFuture<Void> allUp = new CompletableFuture<>();
    private final List<String> peersWrong = new ArrayList<>();
    private final DiscoveryCallCounter listCalls = new DiscoveryCallCounter();
    private final Histogram lags = new Histogram(MOST_MICROS, 3);
    private Auditor auditor;
    private MetricsAuditor metricsAuditor;
    private Recorder recorder;
    private ClusterModel cluster;
    private Clients clients;
    private NetworkLinks links;
    private Fleet fleet;
    private IdleConnectionFlood flood;
    private MachineMonitor machine;
    private RelayCost.Cost relayCost = RelayCost.Cost.NONE;
    private volatile boolean over;
    private volatile String failure;

    private ProcessRun(
            Scenario scenario,
            long seed,
            double seconds,
            Map<String, String> variant,
            Path jar,
            Path older) {
        this.scenario = scenario;
        this.seconds = seconds;
        this.jar = jar;
        this.older = older;
        random = new SeededRandom(seed);
        // A variant may do without, to be compared with.
        peers = scenario.peers() && !variant.containsKey(NO_PEERS);
        Map<String, String> settings = new LinkedHashMap<>(variant);
        settings.remove(NO_PEERS);
        pairs = DaemonSettings.pairs(scenario, settings);
        pools = new ClientPool[scenario.dispatchers()];
        listens = new boolean[scenario.dispatchers()];
    }

    /**
     * Plays it to its end, or until it is told to stop; tells of its progress now and then.
     *
     * @param jar another build's; null for this one
     * @param older the build that faults call older; null for none
     */
    public static Report run(
            Scenario written,
            long seed,
            double seconds,
            Map<String, String> variant,
            String variantName,
            Path jar,
            Path older,
            BooleanSupplier stop,
            Consumer<String> progress)
            throws RehearsalException, ConfigException {
        ProcessRun run =
                new ProcessRun(
                        FaultScheduleGenerator.withRandomFaults(written, seed),
                        seed,
                        seconds,
                        variant,
                        jar,
                        older);
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

    private interface ThrowingTask<T> {
        T run() throws Exception;
    }

    /** Runs it on the stand-ins' thread and waits for it. */
    private <T> T onLoop(ThrowingTask<T> step) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(
                () -> {
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
            throw new RehearsalException(
                    "this machine is too busy: nothing ran for " + HOP_SECONDS + " s");
        }
    }

    private void begin() throws Exception {
        loop.start();
        CompletableFuture<RelayCost.Cost> cost = new CompletableFuture<>();
        onLoop(
                () -> {
                    beginStandIns();
                    if (links.areRelayed()) {
                        RelayCost.measure(loop, cost::complete);
                    } else {
                        cost.complete(RelayCost.Cost.NONE);
                    }
                    return null;
                });
        // Before the daemons: their starts would be in it.
        relayCost = cost.get(HOP_SECONDS, TimeUnit.SECONDS);
        onLoop(
                () -> {
                    for (int i = 0; i < scenario.dispatchers(); i++) {
                        fleet.start(i, Scenario.How.USUAL);
                    }
                    return null;
                });
        long due = System.nanoTime() + TimeUnit.SECONDS.toNanos(Fleet.READY_SECONDS);
        while (!allUp.isDone()) {
            failIfFailed();
            if (System.nanoTime() > due) {
                throw new RehearsalException(
                        "a dispatcher is not up after " + Fleet.READY_SECONDS + " s");
            }
            Thread.sleep(POLL_MILLIS);
        }
        machine = new MachineMonitor(this::processes);
        onLoop(
                () -> {
                    loop.schedule(SETTLE, this::beginAsking);
                    return null;
                });
    }

    private void beginStandIns() throws IOException {
        auditor = new Auditor(scenario, time, SLACK);
        metricsAuditor = new MetricsAuditor(time, scenario.clients().writePause() > 0);
        recorder = new Recorder(scenario, time, seconds, auditor, metricsAuditor);
        cluster = new ClusterModel(scenario, time, random, seconds, recorder);
        clients = new Clients(scenario, time, random, seconds, new ClientTransport(), recorder);
        List<StubWorker> workers = new ArrayList<>();
        for (WorkerModel model : cluster.workers) {
            workers.add(new StubWorker(loop, model, auditor, anyPort()));
        }
        links =
                new NetworkLinks(
                        loop,
                        scenario,
                        random,
                        cluster.workers.stream().map(w -> w.group).toList(),
                        this::onLinkChange);
        InetSocketAddress[] discoveries = new InetSocketAddress[scenario.dispatchers()];
        for (int i = 0; i < scenario.dispatchers(); i++) {
            int dispatcher = i;
            InetSocketAddress[] book = new InetSocketAddress[workers.size()];
            for (int j = 0; j < book.length; j++) {
                book[j] = links.toWorker(i, j, workers.get(j));
            }
            // Each is told addresses of its own: no message has to be written anew on the way.
            StubDiscovery list =
                    new StubDiscovery(
                            loop,
                            i,
                            cluster.registry,
                            auditor,
                            scenario,
                            n -> book[n],
                            anyPort(),
                            listCalls,
                            () -> links.isOpen(NetworkLink.toDiscovery(dispatcher)));
            discoveries[i] = links.toDiscovery(i, list);
        }
        List<List<String>> books = new ArrayList<>();
        for (int i = 0; i < scenario.dispatchers(); i++) {
            books.add(peers ? links.toPeers(i, n -> fleet.peersOf(n)) : List.of());
        }
        fleet =
                new Fleet(
                        loop,
                        scenario,
                        random,
                        pairs,
                        jar,
                        older,
                        i -> discoveries[i],
                        books::get,
                        new FleetListener());
        flood = new IdleConnectionFlood(loop, i -> listens[i] ? pools[i].address() : null);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** What a change of a way excuses, told to the judges before it is made. */
    private void onLinkChange(NetworkLink link, LinkState state) {
        if (link.isToPeer()) {
            return;
        }
        boolean open = state.equals(LinkState.OPEN);
        metricsAuditor.suspendChecks(link.dispatcher(), !open);
        if (link.isToWorker()) {
            if (!open) {
                metricsAuditor.onAttemptsLost(link.dispatcher());
            }
            auditor.setLinkDelay(link.dispatcher(), link.worker(), state.maxDelay(MESSAGE_SIZE));
        } else if (link.worker() == NetworkLink.CLIENTS) {
            auditor.setClientsImpaired(link.dispatcher(), !open);
            if (state.refuses()) {
                pools[link.dispatcher()].severed();
            }
        }
    }

    private void beginAsking() {
        listCalls.reset();
        cluster.start(new FaultInjector());
        recorder.start(cluster, clients);
        new AdminPoll(loop, fleet, metricsAuditor, scenario.dispatchers()).poll();
        tick(loop.now() + TICK);
        look();
    }

    private void look() {
        if (clients.isOver()) {
            if (peers) {
                askForMembership();
            }
            loop.schedule(AFTERWARDS, () -> over = true);
        } else {
            loop.schedule(TICK, this::look);
        }
    }

    /** Each is to hold just those to be there that are. */
    private void askForMembership() {
        for (int i = 0; i < scenario.dispatchers(); i++) {
            int dispatcher = i;
            for (DaemonProcess process : fleet.processes(i)) {
                if (process.adminPort() == 0 || fleet.isPaused(i)) {
                    continue;
                }
                AdminCall.call(
                        loop,
                        Fleet.address(process.adminPort()),
                        "PEERS",
                        AFTERWARDS / 2,
                        answer -> {
                            long there =
                                    answer == null
                                            ? 0
                                            : answer.lines()
                                                    .filter(
                                                            line ->
                                                                    line.matches(
                                                                            "\\S+ \\d+ (alive|suspect) .*"))
                                                    .count();
                            long up =
                                    IntStream.range(0, scenario.dispatchers())
                                            .filter(n -> listens[n])
                                            .count();
                            if (there != up) {
                                peersWrong.add(
                                        "n"
                                                + dispatcher
                                                + " holds "
                                                + there
                                                + " of "
                                                + up
                                                + " to be there: "
                                                + (answer == null
                                                        ? "no answer"
                                                        : answer.replace("\n", "; ")));
                            }
                        });
            }
        }
    }

    /** How late this machine runs our own timers. */
    private void tick(double due) {
        loop.schedule(
                due - loop.now(),
                () -> {
                    lags.recordValue(
                            (long) Math.min(MOST_MICROS, Math.max(0, MICROS * (loop.now() - due))));
                    tick(loop.now() + TICK);
                });
    }

    private List<Process> processes() {
        CompletableFuture<List<Process>> all = new CompletableFuture<>();
        loop.post(
                () -> {
                    List<Process> found = new ArrayList<>();
                    for (int i = 0; i < scenario.dispatchers(); i++) {
                        fleet.processes(i).forEach(process -> found.add(process.process()));
                    }
                    all.complete(found);
                });
        try {
            return all.get(HOP_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            return List.of();
        }
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
                progress.accept(
                        onLoop(
                                () ->
                                        String.format(
                                                Locale.ROOT,
                                                "%.0f s of %.0f s: %d asked",
                                                passed,
                                                seconds,
                                                recorder.tally().requestCount())));
            }
        }
        return false;
    }

    private void failIfFailed() throws RehearsalException {
        if (failure != null) {
            throw new RehearsalException(failure);
        }
    }

    private Report report(String variantName, long seed, boolean partial)
            throws RehearsalException {
        if (recorder.tally().requestCount() == 0) {
            throw new RehearsalException("it was stopped before anything was asked");
        }
        auditor.finish();
        Report.Run run =
                new Report.Run(
                        scenario.name(),
                        scenario.title(),
                        "real",
                        variantName,
                        seed,
                        seconds,
                        scenario.workers(),
                        scenario.dispatchers());
        Report.Lag lag =
                new Report.Lag(
                        lags.getValueAtPercentile(99) / MICROS,
                        lags.getMaxValue() / MICROS,
                        machine.p99(),
                        machine.most());
        return Report.of(run, recorder, auditor, cluster, lag, extra(), partial);
    }

    private Report.Extra extra() {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put(FigureNames.LIST_CALLS, (double) listCalls.maxPerSecond());
        figures.put(FigureNames.METRICS_MISMATCH, metricsAuditor.mismatchFraction());
        figures.put(FigureNames.ADMIN_CALLS_LATE, metricsAuditor.lateCallFraction());
        figures.put(FigureNames.NOT_REPLACED, (double) fleet.notReplaced());
        figures.put(FigureNames.PEERS_WRONG, (double) peersWrong.size());
        List<String> notes = new ArrayList<>();
        notes.add(
                String.format(
                        Locale.ROOT,
                        "calls for the list: %d, %d in the busiest second",
                        listCalls.total(),
                        listCalls.maxPerSecond()));
        notes.add(
                String.format(
                        Locale.ROOT,
                        "operators' figures: %d held against what was seen, %.2f%%"
                                + " untrue; doors late: %.2f%%",
                        metricsAuditor.checkCount(),
                        100 * metricsAuditor.mismatchFraction(),
                        100 * metricsAuditor.lateCallFraction()));
        metricsAuditor.mismatches().forEach(line -> notes.add("  " + line));
        notes.addAll(peersWrong);
        if (fleet.replacements() > 0) {
            notes.add(
                    fleet.replacements()
                            + " replacements begun, "
                            + fleet.notReplaced()
                            + " not through in time");
        }
        if (links.areRelayed()) {
            notes.add(
                    String.format(
                            Locale.ROOT,
                            "a short exchange through a relay takes %.2f ms at p99,"
                                    + " straight %.2f ms",
                            MILLIS * relayCost.relayed(),
                            MILLIS * relayCost.direct()));
        }
        return new Report.Extra(figures, notes);
    }

    private void close() {
        if (machine != null) {
            machine.close();
        }
        // A dispatcher that is alone serves for as long as its clients stay.
        loop.post(
                () ->
                        Arrays.stream(pools)
                                .filter(pool -> pool != null)
                                .forEach(ClientPool::closeIdle));
        if (fleet != null) {
            fleet.close();
        }
        try {
            loop.stop();
        } catch (Exception e) {
            // The process of the rehearsal goes on without it.
            Thread.currentThread().interrupt();
        }
    }

    /** What becomes of the daemons' processes. */
    private final class FleetListener implements Fleet.Listener {
        @Override
        public void onReady(int dispatcher, InetSocketAddress own) {
            try {
                pools[dispatcher] =
                        new ClientPool(
                                loop,
                                links.toClients(dispatcher, own),
                                clients,
                                new ScenarioBehavior());
            } catch (IOException e) {
                onFailure("no relay for clients: " + e.getMessage());
                return;
            }
            auditor.onDispatcherStarted(dispatcher);
            listens[dispatcher] = true;
            for (int i = 0; i < listens.length; i++) {
                if (pools[i] == null) {
                    return;
                }
            }
            allUp.complete(null);
        }

        @Override
        public void onStarted(int dispatcher, DaemonProcess process) {
            metricsAuditor.onProcessStarted(dispatcher, process);
        }

        @Override
        public void onEnded(int dispatcher, DaemonProcess process) {
            metricsAuditor.onProcessEnded(dispatcher, process);
        }

        @Override
        public void onSplit(int dispatcher, boolean begins) {
            // Which of its connections were that one's the kernel alone knows.
            auditor.setDispatcherSplit(dispatcher, begins);
            pools[dispatcher].severed();
            metricsAuditor.suspendChecks(dispatcher);
        }

        @Override
        public void onStopped(int dispatcher) {
            listens[dispatcher] = false;
            auditor.onDispatcherStopped(dispatcher);
        }

        @Override
        public void onCrash(int dispatcher, String lastWords) {
            auditor.onCrash(dispatcher, lastWords);
        }

        @Override
        public void onFailure(String why) {
            failure = why;
        }
    }

    private final class ScenarioBehavior implements ClientPool.ConnectionBehavior {
        @Override
        public boolean isFresh(ClientAttempt clientAttempt) {
            return random.uniform(
                            SeededRandom.Purpose.CLIENT,
                            clientAttempt.request().number(),
                            2L * clientAttempt.number())
                    < scenario.clients().newConnectionFraction();
        }

        @Override
        public double pause(ClientAttempt clientAttempt) {
            double most = Math.min(scenario.clients().writePause(), clientAttempt.timeout() / 2);
            return most <= 0 || !isFresh(clientAttempt)
                    ? 0
                    : most
                            * random.uniform(
                                    SeededRandom.Purpose.CLIENT,
                                    clientAttempt.request().number(),
                                    2L * clientAttempt.number() + 1);
        }
    }

    private final class ClientTransport implements Clients.Transport {
        @Override
        public void submit(ClientAttempt clientAttempt) {
            pools[clientAttempt.dispatcher()].submit(clientAttempt);
        }

        @Override
        public void cancel(ClientAttempt clientAttempt) {
            pools[clientAttempt.dispatcher()].hangUp(clientAttempt);
        }

        @Override
        public boolean isOpen(int dispatcher) {
            return listens[dispatcher];
        }
    }

    private final class FaultInjector implements ClusterModel.DispatcherControl {
        @Override
        public void setPaused(int dispatcher, boolean begins) {
            if (begins) {
                auditor.onDispatcherPaused(dispatcher);
                metricsAuditor.suspendChecks(dispatcher, true);
                fleet.setPaused(dispatcher, true);
            } else {
                fleet.setPaused(dispatcher, false);
                // The signal takes a moment, and what the process then reads another one.
                loop.schedule(
                        SLACK,
                        () -> {
                            auditor.onDispatcherResumed(dispatcher);
                            metricsAuditor.suspendChecks(dispatcher, false);
                        });
            }
        }

        @Override
        public void setLinkFault(
                Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
            links.setFault(fault, dispatcher, targets, begins);
        }

        @Override
        public void limitCpu(int dispatcher, double share) {
            metricsAuditor.suspendChecks(dispatcher, share < 1);
            fleet.limitCpu(dispatcher, share);
        }

        @Override
        public void replace(int dispatcher, Scenario.How how, double limit) {
            fleet.replace(dispatcher, how, limit);
        }

        @Override
        public void changeFloodRate(int dispatcher, double rate) {
            flood.changeRate(dispatcher, rate);
        }

        @Override
        public void kill(int dispatcher) {
            listens[dispatcher] = false;
            auditor.onDispatcherStopped(dispatcher);
            pools[dispatcher].died();
            fleet.kill(dispatcher);
        }

        @Override
        public void terminate(int dispatcher) {
            listens[dispatcher] = false;
            fleet.terminate(dispatcher);
        }

        @Override
        public void start(int dispatcher, Scenario.How how) {
            fleet.start(dispatcher, how);
        }
    }
}
