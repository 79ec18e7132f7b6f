package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import wheelroute.decision.Idempotency;
import wheelroute.kit.process.LoadRun;
import wheelroute.kit.process.ProcessSupervisor;
import wheelroute.kit.process.RehearsalException;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/**
 * Measures what a dispatcher and a list service cost by each of the sizes that grow. Every point
 * has a list service, a process and a load of its own; some points of one series run side by side,
 * as processor time is what is counted.
 */
public final class ScaleRun {
    /** Names of the lines and figures, as the page's reckoning asks for them. */
    public static final String REST_CPU = "rest_cpu_by_workers";

    public static final String LAUNCH_CPU = "launch_cpu_by_workers";
    public static final String COLD_LAUNCH_CPU = "cold_launch_cpu_by_workers";
    public static final String MEMORY = "memory_by_workers";
    public static final String READY = "ready_by_workers";
    public static final String LISTED = "whole_list_s_by_workers";
    public static final String WHOLE_BYTES = "whole_list_bytes_by_workers";
    public static final String CHANGES_CPU = "cpu_by_changes";
    public static final String CHANGES_BYTES = "list_bytes_by_changes";
    public static final String RATE_CPU = "cpu_by_launches";
    public static final String HELD_CPU = "cpu_by_held";
    public static final String HELD_MEMORY = "memory_by_held";
    public static final String TENANTS_CPU = "launch_cpu_by_tenants";
    public static final String BATCH_CPU = "batch_cpu_by_changes";
    public static final String BATCH_IN_FORCE = "batch_in_force_by_changes";
    public static final String CALLS = "list_calls_by_dispatchers";
    public static final String LIST_BYTES = "list_bytes_by_dispatchers";
    public static final String IN_FORCE_P50 = "in_force_p50_by_dispatchers";
    public static final String IN_FORCE_P99 = "in_force_p99_by_dispatchers";
    public static final String IN_FORCE_WORST = "in_force_worst_by_dispatchers";
    public static final String RESTART_WORST = "list_restart_worst_s";
    public static final String RESTART_CALLS = "list_restart_calls";
    public static final String REAL_CALLS = "real_calls_per_s";
    public static final String HOLLOW_CALLS = "hollow_calls_per_s";
    public static final String REAL_IN_FORCE = "real_in_force_p50_s";
    public static final String HOLLOW_IN_FORCE = "hollow_in_force_p50_s";

    private static final double MILLIS = 1e3;
    private static final double MICROS = 1e6;
    private static final int SIDE_BY_SIDE = 3;
    private static final int USUAL_WORKERS = 1000;
    private static final double USUAL_CHANGES = 1;

    /**
     * Attempts a second beside each size of the list: the largest leaves no core time for many
     * more.
     */
    private static final int USUAL_RATE = 10;

    private static final double USUAL_WORK = 0.02;

    /** A list service that answers this many calls a second is never what is measured. */
    private static final double AMPLE = 100_000;

    /**
     * For the restart under all dispatchers, so many answers a second for each: all of them come
     * back at once, and each wants another answer with each change, one a second.
     */
    private static final double RESTART_CAPACITY = 2;

    private static final double RESTART_AWAY = 3;
    private static final double RESTART_LIMIT = 30;
    private static final int COLD_LAUNCHES = 500;

    /**
     * One after the other on each of these: a process that starts is not asked for more than it can
     * do.
     */
    private static final int COLD_CONNECTIONS = 2;

    private static final double SHORT_WORK = 0.001;
    private static final double FIRST_LIMIT = 120;

    /** Fast enough that what rests costs little beside it. */
    private static final double TENANTS_RATE = 100;

    private static final int MEMORY_MB = 128;
    private static final int SOCKETS = 16_000;
    private static final int LOOK_MILLIS = 20;
    private static final double CLIENTS_WAIT = 600;

    /** Slow enough for any of the lists that it is tried with. */
    private static final double HELD_RATE = 150;

    private static final double HELD_ENOUGH = 0.9;
    private static final long SEED = 7;

    /** Kept here, as a logger that nobody holds forgets its level. */
    private static final List<Logger> QUIET =
            List.of(Logger.getLogger("wheelroute"), Logger.getLogger("org.eclipse.jetty"));

    private static final double CONNECT = 2;

    /**
     * What is measured, and for how long.
     *
     * @param seconds of each figure that is an average over time
     */
    public record Sizes(
            double seconds,
            int[] workers,
            double[] changes,
            int[] rates,
            int[] held,
            int[] tenants,
            int[] batches,
            int batchWorkers,
            int[] dispatchers) {
        /** In well under a minute. */
        public static Sizes quick() {
            return new Sizes(
                    1.5,
                    new int[] {100, 1000, 3000, 8000},
                    new double[] {1, 10, 40, 100},
                    new int[] {10, 35, 100, 250},
                    new int[] {50, 200, 500, 1000},
                    new int[] {0, 50, 200, 440},
                    new int[] {100, 400, 1000, 2300},
                    3000,
                    new int[] {10, 40, 80, 150});
        }

        /** The sizes of the full run, which takes minutes. */
        public static Sizes full() {
            return new Sizes(
                    6,
                    new int[] {100, 1000, 3000, 10_000, 20_000, 30_000},
                    new double[] {1, 5, 20, 50, 100},
                    new int[] {10, 35, 100, 250},
                    new int[] {100, 500, 1500, 3000},
                    new int[] {0, 50, 150, 300, 440},
                    new int[] {100, 500, 1150, 2300},
                    30_000,
                    new int[] {20, 75, 150, 300});
        }
    }

    private final Sizes sizes;
    private final BooleanSupplier stop;
    private final Consumer<String> tell;
    private final Path folder;
    private final ProcessSupervisor keeper;
    private final ResourceGuard guard;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT);
    private final Map<String, List<LinearFit.Point>> points = new TreeMap<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private int daemons;

    private ScaleRun(Sizes sizes, BooleanSupplier stop, Consumer<String> tell) throws IOException {
        this.sizes = sizes;
        this.stop = stop;
        this.tell = tell;
        folder = Files.createTempDirectory("wheelroute-scale");
        keeper = new ProcessSupervisor(folder);
        guard = new ResourceGuard();
    }

    /**
     * Measures all sizes.
     *
     * @param stop asked between steps, whether to end early
     * @param tell hears of progress, a line at a time
     */
    public static ScaleResults run(Sizes sizes, BooleanSupplier stop, Consumer<String> tell)
            throws RehearsalException {
        // Hundreds of dispatchers in this process would each say where they listen.
        QUIET.get(0).setLevel(Level.WARNING);
        // Sockets that are still being opened as a loop ends are no news.
        QUIET.get(1).setLevel(Level.SEVERE);
        try {
            MeasuredDaemon.root();
            ScaleRun run = new ScaleRun(sizes, stop, tell);
            try {
                return run.run();
            } finally {
                run.end();
            }
        } catch (IOException e) {
            throw new RehearsalException("the scale run broke off: " + e);
        }
    }

    private ScaleResults run() throws IOException, RehearsalException {
        try {
            loop.start();
        } catch (Exception e) {
            throw new RehearsalException("the scale run did not start: " + e);
        }
        List<Callable<Void>> series = new ArrayList<>();
        // The largest first: what takes longest should not come last.
        series.addAll(descending(sizes.workers, this::byWorkers));
        series.addAll(descending(sizes.batches, this::byBatch));
        series.addAll(descending(sizes.held, this::byHeld));
        for (double changes : sizes.changes) {
            series.add(() -> byChanges(changes));
        }
        series.addAll(descending(sizes.rates, this::byRate));
        series.addAll(descending(sizes.tenants, this::byTenants));
        ExecutorService side = Executors.newFixedThreadPool(SIDE_BY_SIDE);
        ExecutorService own = Executors.newSingleThreadExecutor();
        try {
            List<Future<Void>> running = new ArrayList<>();
            running.add(own.submit(this::byDispatchers));
            series.forEach(
                    one -> running.add(side.submit(() -> stop.getAsBoolean() ? null : one.call())));
            for (Future<Void> one : running) {
                await(one);
            }
        } finally {
            side.shutdownNow();
            own.shutdownNow();
        }
        if (stop.getAsBoolean()) {
            throw new RehearsalException("the scale run was stopped");
        }
        String machine =
                Runtime.getRuntime().availableProcessors()
                        + " cores, "
                        + Math.round(ProcessStats.machineMemory())
                        + " MB, Java "
                        + System.getProperty("java.version");
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        for (Measure measure : Measure.values()) {
            List<LinearFit.Point> found = points.getOrDefault(measure.word, List.of());
            fits.put(
                    measure.word,
                    LinearFit.of(
                            measure.word,
                            measure.x,
                            measure.y,
                            found.stream()
                                    .sorted(Comparator.comparingDouble(LinearFit.Point::x))
                                    .toList()));
        }
        return new ScaleResults(guard.whyNotJudged(), machine, fits, new TreeMap<>(figures));
    }

    /** The lines, with what they are drawn against. */
    private enum Measure {
        REST("workers", "cores", REST_CPU),
        LAUNCH("workers", "s of processor a launch, warm", LAUNCH_CPU),
        COLD("workers", "s of processor a launch, the first " + COLD_LAUNCHES, COLD_LAUNCH_CPU),
        MEM("workers", "MB", MEMORY),
        UP("workers", "s to take clients", READY),
        LIST("workers", "s to have the whole list", LISTED),
        WHOLE("workers", "bytes of a whole list", WHOLE_BYTES),
        CHANGE("changes a second", "cores", CHANGES_CPU),
        CHANGE_BYTES("changes a second", "bytes a second", CHANGES_BYTES),
        RATE("launches a second", "cores", RATE_CPU),
        HOLD("launches held", "cores", HELD_CPU),
        HOLD_MEM("launches held", "MB", HELD_MEMORY),
        TENANT("tenants", "s of processor a launch", TENANTS_CPU),
        BATCH("changes in one answer", "s of processor", BATCH_CPU),
        BATCH_FORCE("changes in one answer", "s until in force", BATCH_IN_FORCE),
        CALL("dispatchers", "calls a second", CALLS),
        CALL_BYTES("dispatchers", "bytes a second", LIST_BYTES),
        P50("dispatchers", "s until in force, median", IN_FORCE_P50),
        P99("dispatchers", "s until in force, 99th percentile", IN_FORCE_P99),
        WORST("dispatchers", "s until in force, worst", IN_FORCE_WORST);

        private final String x;
        private final String y;
        private final String word;

        Measure(String x, String y, String word) {
            this.x = x;
            this.y = y;
            this.word = word;
        }
    }

    private interface PointMeasurement {
        Void measure(int size) throws Exception;
    }

    private static List<Callable<Void>> descending(int[] sizes, PointMeasurement point) {
        List<Callable<Void>> all = new ArrayList<>();
        for (int i = sizes.length - 1; i >= 0; i--) {
            int size = sizes[i];
            all.add(() -> point.measure(size));
        }
        return all;
    }

    private static <T> T await(Future<T> future) throws RehearsalException {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RehearsalException("the run was interrupted");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RehearsalException fault) {
                throw fault;
            }
            throw new RehearsalException("the scale run broke off: " + e.getCause());
        }
    }

    private <T> T onLoop(Callable<T> task) throws RehearsalException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(
                () -> {
                    try {
                        done.complete(task.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return await(done);
    }

    private synchronized void found(String line, double x, double y) {
        points.computeIfAbsent(line, l -> new ArrayList<>()).add(new LinearFit.Point(x, y));
    }

    private synchronized void figure(String name, double value) {
        figures.put(name, value);
    }

    // ---- one real daemon

    /** A list service and a daemon on it, up and with its list. */
    private final class Benchmark implements AutoCloseable {
        final StubWorkers workers;
        final DiscoveryService list;
        final MeasuredDaemon daemon;
        final double ready;
        final double listed;
        private EventLoop.Timer next;

        Benchmark(int size, int tenants) throws IOException, RehearsalException {
            workers = onLoop(() -> new StubWorkers(loop));
            list = onLoop(() -> new DiscoveryService(loop, size, AMPLE, workers::address));
            guard.mayStart(MEMORY_MB);
            int number = nextDaemon();
            long begun = System.nanoTime();
            daemon =
                    MeasuredDaemon.start(
                            folder,
                            "r" + number,
                            new DispatcherConfigFile(
                                            list.address(DiscoveryService.Caller.REAL),
                                            1,
                                            tenants,
                                            MEMORY_MB,
                                            SOCKETS)
                                    .config("r" + number, number),
                            keeper);
            guard.started(daemon);
            ready = daemon.awaitReady();
            // It watches: so it has the list.
            await(() -> list.watching() == 1 && list.behind() == 0, "a daemon never had its list");
            listed = (System.nanoTime() - begun) / (MICROS * MILLIS);
        }

        private void await(Callable<Boolean> condition, String fault)
                throws RehearsalException, IOException {
            long end = System.nanoTime() + (long) (RESTART_LIMIT * MICROS * MILLIS);
            while (!onLoop(condition)) {
                guard.look();
                if (System.nanoTime() > end || !daemon.isAlive()) {
                    throw new RehearsalException(fault);
                }
                MeasuredDaemon.pause(LOOK_MILLIS);
            }
        }

        void changes(double perSecond) throws RehearsalException {
            onLoop(
                    () -> {
                        later(perSecond);
                        return null;
                    });
        }

        private void later(double perSecond) {
            next =
                    loop.schedule(
                            1 / perSecond,
                            () -> {
                                list.change(1);
                                later(perSecond);
                            });
        }

        /** Processor time and bytes of the list in so many seconds, while a load runs or none. */
        double[] spent(double seconds) throws IOException, RehearsalException {
            long bytes = onLoop(() -> list.account(DiscoveryService.Caller.REAL).bytes);
            double before = daemon.cpu();
            long begun = System.nanoTime();
            MeasuredDaemon.pause((long) (seconds * MILLIS));
            double took = (System.nanoTime() - begun) / (MICROS * MILLIS);
            double cpu = daemon.cpu() - before;
            guard.look();
            long more = onLoop(() -> list.account(DiscoveryService.Caller.REAL).bytes) - bytes;
            return new double[] {cpu / took, more / took};
        }

        LoadRun.Load load(
                double rate, int connections, double work, double seconds, int tenants, int most) {
            return new LoadRun.Load(
                    daemon.address(),
                    DispatcherConfigFile.OFFERING,
                    Idempotency.IDEMPOTENT,
                    rate,
                    connections,
                    work,
                    0,
                    CLIENTS_WAIT,
                    seconds,
                    SEED,
                    tenants,
                    most);
        }

        /** Processor time of one of the first attempts of the process. */
        double first(int tenants) throws IOException, RehearsalException {
            return each(load(0, COLD_CONNECTIONS, SHORT_WORK, FIRST_LIMIT, tenants, COLD_LAUNCHES));
        }

        /** Processor time of one attempt over so many of them; all must have been fulfilled. */
        double perLaunch(double rate, double seconds, int tenants)
                throws IOException, RehearsalException {
            return each(load(rate, 0, USUAL_WORK, seconds, tenants, 0));
        }

        private double each(LoadRun.Load load) throws IOException, RehearsalException {
            double before = daemon.cpu();
            LoadRun.Result result = LoadRun.run(load, stop);
            if (!stop.getAsBoolean() && result.fulfilled() < result.sent()) {
                throw new RehearsalException(
                        result.fulfilled()
                                + " of "
                                + result.sent()
                                + " submissions were fulfilled: "
                                + result.text());
            }
            return (daemon.cpu() - before) / Math.max(1, result.sent());
        }

        @Override
        public void close() throws RehearsalException {
            guard.ended(daemon);
            daemon.close();
            onLoop(
                    () -> {
                        if (next != null) {
                            next.cancel();
                        }
                        return null;
                    });
        }
    }

    private synchronized int nextDaemon() {
        return ++daemons;
    }

    private Void byWorkers(int size) throws Exception {
        try (Benchmark bench = new Benchmark(size, 0)) {
            found(READY, size, bench.ready);
            found(LISTED, size, bench.listed);
            found(WHOLE_BYTES, size, onLoop(() -> (double) bench.list.wholeBytes()));
            found(COLD_LAUNCH_CPU, size, bench.first(0));
            bench.changes(USUAL_CHANGES);
            double rest = bench.spent(sizes.seconds)[0];
            found(REST_CPU, size, rest);
            double each = bench.perLaunch(USUAL_RATE, sizes.seconds, 0);
            // The load ends a moment after its time; what rests meanwhile is the same as before.
            found(LAUNCH_CPU, size, Math.max(0, each - rest / USUAL_RATE));
            found(MEMORY, size, bench.daemon.memory());
            tell.accept(
                    String.format(
                            Locale.ROOT,
                            "%d workers: ready %.2f s, list %.2f s, %.1f MB, at rest %.4f of a core,"
                                    + " %.2f ms a launch",
                            size,
                            bench.ready,
                            bench.listed,
                            bench.daemon.memory(),
                            rest,
                            each * MILLIS));
        }
        return null;
    }

    private Void byChanges(double perSecond) throws Exception {
        try (Benchmark bench = new Benchmark(USUAL_WORKERS, 0)) {
            bench.changes(perSecond);
            double[] spent = bench.spent(sizes.seconds);
            found(CHANGES_CPU, perSecond, spent[0]);
            found(CHANGES_BYTES, perSecond, spent[1]);
            tell.accept(
                    String.format(
                            Locale.ROOT,
                            "%.0f changes a second: %.4f of a core, %.0f bytes a second",
                            perSecond,
                            spent[0],
                            spent[1]));
        }
        return null;
    }

    private Void byRate(int rate) throws Exception {
        try (Benchmark bench = new Benchmark(USUAL_WORKERS, 0)) {
            bench.first(0);
            double each = bench.perLaunch(rate, sizes.seconds, 0);
            found(RATE_CPU, rate, each * rate);
            tell.accept(
                    String.format(
                            Locale.ROOT,
                            "%d launches a second: %.4f of a core",
                            rate,
                            each * rate));
        }
        return null;
    }

    private Void byTenants(int tenants) throws Exception {
        try (Benchmark bench = new Benchmark(USUAL_WORKERS, tenants)) {
            bench.first(tenants);
            double each = bench.perLaunch(TENANTS_RATE, sizes.seconds, tenants);
            found(TENANTS_CPU, tenants, each);
            tell.accept(
                    String.format(
                            Locale.ROOT, "%d tenants: %.3f ms a launch", tenants, each * MILLIS));
        }
        return null;
    }

    /** So many attempts stay out, one at a worker, while nothing else is asked. */
    private Void byHeld(int held) throws Exception {
        try (Benchmark bench = new Benchmark(Math.max(USUAL_WORKERS, held + held / 2), 0)) {
            double before = bench.daemon.memory();
            AtomicBoolean over = new AtomicBoolean();
            ExecutorService clients = Executors.newSingleThreadExecutor();
            try {
                Future<LoadRun.Result> asked =
                        clients.submit(
                                () ->
                                        LoadRun.run(
                                                bench.load(
                                                        HELD_RATE,
                                                        0,
                                                        CLIENTS_WAIT,
                                                        held / HELD_RATE,
                                                        0,
                                                        0),
                                                () -> over.get() || stop.getAsBoolean()));
                // By chance a few more come, or less.
                MeasuredDaemon.pause((long) (held / HELD_RATE * MILLIS));
                bench.await(
                        () -> bench.workers.running() >= HELD_ENOUGH * held || asked.isDone(),
                        "fewer than " + held + " launches could be held");
                double cpu = bench.spent(sizes.seconds)[0];
                int running = onLoop(bench.workers::running);
                found(HELD_CPU, running, cpu);
                found(HELD_MEMORY, running, bench.daemon.memory() - before);
                tell.accept(
                        String.format(
                                Locale.ROOT,
                                "%d launches held: %.4f of a core, %.1f MB more",
                                running,
                                cpu,
                                bench.daemon.memory() - before));
                over.set(true);
                await(asked);
            } finally {
                over.set(true);
                clients.shutdown();
            }
        }
        return null;
    }

    /** A zone's loss: so many changes in one answer. */
    private Void byBatch(int many) throws Exception {
        try (Benchmark bench = new Benchmark(Math.max(sizes.batchWorkers, many), 0)) {
            onLoop(
                    () -> {
                        bench.list.account(DiscoveryService.Caller.REAL).clear();
                        return null;
                    });
            double before = bench.daemon.cpu();
            onLoop(
                    () -> {
                        bench.list.change(many);
                        return null;
                    });
            bench.await(() -> bench.list.behind() == 0, "a batch of changes was never in force");
            found(BATCH_CPU, many, bench.daemon.cpu() - before);
            found(
                    BATCH_IN_FORCE,
                    many,
                    onLoop(
                            () ->
                                    bench.list
                                                    .account(DiscoveryService.Caller.REAL)
                                                    .inForce
                                                    .getMaxValue()
                                            / MICROS));
            tell.accept(many + " changes in one answer");
        }
        return null;
    }

    // ---- many dispatchers

    private Void byDispatchers() throws Exception {
        Benchmark real = new Benchmark(USUAL_WORKERS, 0);
        try (real;
                EmbeddedDispatchers hollow = new EmbeddedDispatchers(folder)) {
            DiscoveryService list = real.list;
            DiscoveryService.CallStatistics of = list.account(DiscoveryService.Caller.HOLLOW);
            DiscoveryService.CallStatistics ofReal = list.account(DiscoveryService.Caller.REAL);
            real.changes(USUAL_CHANGES);
            for (int many : sizes.dispatchers) {
                if (stop.getAsBoolean()) {
                    return null;
                }
                hollow.growTo(
                        many,
                        new DispatcherConfigFile(
                                list.address(DiscoveryService.Caller.HOLLOW),
                                many,
                                0,
                                MEMORY_MB,
                                128));
                real.await(
                        () -> list.watching() == many + 1,
                        "hollow dispatchers never had their list");
                onLoop(
                        () -> {
                            of.clear();
                            ofReal.clear();
                            return null;
                        });
                double seconds = 2 * sizes.seconds;
                MeasuredDaemon.pause((long) (seconds * MILLIS));
                guard.look();
                onLoop(
                        () -> {
                            found(CALLS, many, of.calls / seconds);
                            found(LIST_BYTES, many, of.bytes / seconds);
                            Histogram inForce = of.inForce;
                            found(IN_FORCE_P50, many, inForce.getValueAtPercentile(50) / MICROS);
                            found(IN_FORCE_P99, many, inForce.getValueAtPercentile(99) / MICROS);
                            found(IN_FORCE_WORST, many, inForce.getMaxValue() / MICROS);
                            figure(HOLLOW_CALLS, of.calls / seconds / many);
                            figure(REAL_CALLS, ofReal.calls / seconds);
                            figure(HOLLOW_IN_FORCE, inForce.getValueAtPercentile(50) / MICROS);
                            figure(REAL_IN_FORCE, ofReal.inForce.getValueAtPercentile(50) / MICROS);
                            return null;
                        });
                tell.accept(many + " hollow dispatchers");
            }
            restart(real, hollow.size());
        }
        return null;
    }

    /**
     * The list service's own restart under all of them, with a capacity that they would overbook
     * together.
     */
    private void restart(Benchmark real, int many) throws Exception {
        DiscoveryService list = real.list;
        onLoop(
                () -> {
                    list.capacity(RESTART_CAPACITY * many);
                    list.account(DiscoveryService.Caller.HOLLOW).clear();
                    list.restart(RESTART_AWAY);
                    list.change(1);
                    return null;
                });
        MeasuredDaemon.pause((long) (RESTART_AWAY * MILLIS));
        long back = System.nanoTime();
        real.await(
                () -> list.watching() >= many + 1 && list.behind() == 0,
                "not all dispatchers came back after the list service's restart");
        figure(RESTART_WORST, (System.nanoTime() - back) / (MICROS * MILLIS));
        figure(
                RESTART_CALLS,
                onLoop(() -> (double) list.account(DiscoveryService.Caller.HOLLOW).calls));
        tell.accept("the list service restarted under " + many);
    }

    // ---- the end

    private void end() throws IOException, RehearsalException {
        keeper.close();
        try {
            loop.stop();
        } catch (Exception e) {
            throw new RehearsalException("the scale run did not end: " + e);
        }
        try (Stream<Path> left = Files.walk(folder)) {
            for (Path path : left.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
