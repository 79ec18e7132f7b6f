package wheelroute.kit.process;

import java.nio.file.Path;
import java.util.ArrayList;
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
import wheelroute.config.ConfigException;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.FigureNames;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/**
 * A run of a scenario in real time: each dispatcher is a process of its own, workers, discovery and
 * clients run on one thread of this process.
 */
public final class ProcessRun {
    /** From the last dispatcher's readiness to the first request: the list has to reach it. */
    private static final double SETTLE_TIME = 0.7;

    /** The run continues for so long after the last request, to observe what comes too late. */
    private static final double FINAL_TIME = 1;

    private static final double CONNECT_TIMEOUT = 1;
    private static final double END_CHECK_INTERVAL = 0.01;
    private static final int POLL_MILLIS = 50;
    private static final double PROGRESS_SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** The key of a variant whose dispatchers do not know each other. */
    private static final String NO_PEERS = "no_peers";

    /**
     * What is run.
     *
     * @param scenario in {@link #run}, random faults not yet drawn
     * @param seconds how long requests arrive
     * @param settings that differ from the scenario's
     * @param variantName of these settings, for the report
     * @param jar the dispatchers' build; null for this one
     * @param older the build that faults call older; null for none
     */
    public record Options(
            Scenario scenario,
            long seed,
            double seconds,
            Map<String, String> settings,
            String variantName,
            Path jar,
            Path older) {
        /** These options with random faults drawn, and without keys that are not settings. */
        private Options prepared() {
            Map<String, String> otherSettings = new LinkedHashMap<>(settings);
            otherSettings.remove(NO_PEERS);
            return new Options(
                    FaultScheduleGenerator.withRandomFaults(scenario, seed),
                    seed,
                    seconds,
                    otherSettings,
                    variantName,
                    jar,
                    older);
        }
    }

    private final Options options;
    private final boolean peering;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT_TIMEOUT);
    private final LoopExecutor executor = new LoopExecutor(loop);
    private final TimerLag timerLag = new TimerLag(loop);

    /** Null before the run has begun, as the two that follow. */
    private RunEnvironment environment;

    private MembershipCheck membership;
    private MachineMonitor machine;
    private RelayCost.Cost relayCost = RelayCost.Cost.NONE;
    private volatile boolean isOver;

    /** Why the run cannot go on; null while it can. */
    private volatile String failure;

    private ProcessRun(Options options) {
        peering = options.scenario().peersEnabled() && !options.settings().containsKey(NO_PEERS);
        this.options = options.prepared();
    }

    /**
     * Runs a scenario to its end.
     *
     * @param stop ends the run early when it returns true; the report is partial then
     * @param progress gets a line of text now and then
     * @throws RehearsalException if the run cannot be made on this machine
     * @throws ConfigException if the settings cannot be used
     */
    public static Report run(Options options, BooleanSupplier stop, Consumer<String> progress)
            throws RehearsalException, ConfigException {
        ProcessRun run = new ProcessRun(options);
        // Fails before any process is started if the settings are at fault.
        DaemonSettings.settings(
                options.seed(),
                DaemonSettings.settingsByPath(run.options.scenario(), run.options.settings()));
        try {
            run.start();
            boolean partial = run.watch(stop, progress);
            return run.executor.call(() -> run.report(partial));
        } catch (Exception e) {
            if (e instanceof RehearsalException known) {
                throw known;
            }
            throw new RehearsalException("the run broke off: " + e);
        } finally {
            run.close();
        }
    }

    private void start() throws Exception {
        loop.start();
        CompletableFuture<RelayCost.Cost> cost = new CompletableFuture<>();
        executor.call(
                () -> {
                    createEnvironment();
                    if (environment.links.areRelayed()) {
                        RelayCost.measure(loop, cost::complete);
                    } else {
                        cost.complete(RelayCost.Cost.NONE);
                    }
                    return null;
                });
        // Before the dispatchers, whose starts would be in the measurement.
        relayCost = cost.get(LoopExecutor.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        executor.call(
                () -> {
                    for (int i = 0; i < options.scenario().dispatcherCount(); i++) {
                        environment.fleet.start(i, FaultMode.USUAL);
                    }
                    return null;
                });
        awaitReady();
        machine = new MachineMonitor(this::processes);
        executor.call(
                () -> {
                    loop.schedule(SETTLE_TIME, this::startRequests);
                    return null;
                });
    }

    private void createEnvironment() throws Exception {
        environment = new RunEnvironment(options, loop, peering, reason -> failure = reason);
        membership =
                new MembershipCheck(
                        loop,
                        environment.fleet,
                        options.scenario().dispatcherCount(),
                        environment.transport::isOpen);
    }

    private void awaitReady() throws RehearsalException, InterruptedException {
        long due = System.nanoTime() + TimeUnit.SECONDS.toNanos(Fleet.READY_SECONDS);
        while (!environment.allReady.isDone()) {
            throwIfFailed();
            if (System.nanoTime() > due) {
                throw new RehearsalException(
                        "a dispatcher is not up after " + Fleet.READY_SECONDS + " s");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void startRequests() {
        environment.start();
        timerLag.start();
        checkEnd();
    }

    private void checkEnd() {
        if (environment.clients.isOver()) {
            if (peering) {
                membership.start(FINAL_TIME / 2);
            }
            loop.schedule(FINAL_TIME, () -> isOver = true);
        } else {
            loop.schedule(END_CHECK_INTERVAL, this::checkEnd);
        }
    }

    /** The dispatchers' processes; empty if the event loop does not answer. */
    private List<Process> processes() {
        CompletableFuture<List<Process>> processes = new CompletableFuture<>();
        loop.post(
                () -> {
                    List<Process> found = new ArrayList<>();
                    for (int i = 0; i < options.scenario().dispatcherCount(); i++) {
                        environment.fleet.processes(i).forEach(p -> found.add(p.process()));
                    }
                    processes.complete(found);
                });
        try {
            return processes.get(LoopExecutor.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            return List.of();
        }
    }

    /** Waits for the end of the run; true if it was stopped before. */
    private boolean watch(BooleanSupplier stop, Consumer<String> progress) throws Exception {
        double lastProgress = 0;
        long startedAt = System.nanoTime();
        while (!isOver) {
            throwIfFailed();
            if (stop.getAsBoolean()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
            double passed = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
            if (passed - lastProgress >= PROGRESS_SECONDS) {
                lastProgress = passed;
                progress.accept(executor.call(() -> progressText(passed)));
            }
        }
        return false;
    }

    private String progressText(double passed) {
        return String.format(
                Locale.ROOT,
                "%.0f s of %.0f s: %d asked",
                passed,
                options.seconds(),
                environment.recorder.tally().requestCount());
    }

    private void throwIfFailed() throws RehearsalException {
        if (failure != null) {
            throw new RehearsalException(failure);
        }
    }

    private Report report(boolean partial) throws RehearsalException {
        if (environment.recorder.tally().requestCount() == 0) {
            throw new RehearsalException("it was stopped before anything was asked");
        }
        environment.auditor.finish();
        Scenario scenario = options.scenario();
        Report.Run run =
                new Report.Run(
                        scenario.name(),
                        scenario.title(),
                        "real",
                        options.variantName(),
                        options.seed(),
                        options.seconds(),
                        scenario.workerCount(),
                        scenario.dispatcherCount());
        Report.MachineLag lag =
                new Report.MachineLag(
                        timerLag.p99(), timerLag.max(), machine.p99(), machine.most());
        return Report.of(
                run,
                environment.recorder,
                environment.auditor,
                environment.cluster,
                lag,
                new Report.Measurements(figures(), notes()),
                partial);
    }

    private Map<String, Double> figures() {
        MetricsAuditor metrics = environment.metricsAuditor;
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put(
                FigureNames.MAX_DISCOVERY_CALLS,
                (double) environment.discoveryCalls.maxPerSecond());
        figures.put(FigureNames.MISMATCHED_METRICS, metrics.mismatchFraction());
        figures.put(FigureNames.ADMIN_CALL_TIMEOUTS, metrics.lateCallFraction());
        figures.put(FigureNames.FAILED_REPLACEMENTS, (double) environment.fleet.notReplaced());
        figures.put(FigureNames.PEERS_NOT_CONVERGED, (double) membership.mismatches().size());
        return figures;
    }

    private List<String> notes() {
        MetricsAuditor metrics = environment.metricsAuditor;
        Fleet fleet = environment.fleet;
        List<String> notes = new ArrayList<>();
        notes.add(
                String.format(
                        Locale.ROOT,
                        "calls for the list: %d, %d in the busiest second",
                        environment.discoveryCalls.total(),
                        environment.discoveryCalls.maxPerSecond()));
        notes.add(
                String.format(
                        Locale.ROOT,
                        "operators' figures: %d held against what was seen, %.2f%%"
                                + " untrue; doors late: %.2f%%",
                        metrics.checkCount(),
                        100 * metrics.mismatchFraction(),
                        100 * metrics.lateCallFraction()));
        metrics.mismatches().forEach(line -> notes.add("  " + line));
        notes.addAll(membership.mismatches());
        if (fleet.replacements() > 0) {
            notes.add(
                    fleet.replacements()
                            + " replacements begun, "
                            + fleet.notReplaced()
                            + " not through in time");
        }
        if (environment.links.areRelayed()) {
            notes.add(
                    String.format(
                            Locale.ROOT,
                            "a short exchange through a relay takes %.2f ms at p99,"
                                    + " straight %.2f ms",
                            MILLIS_PER_SECOND * relayCost.relayed(),
                            MILLIS_PER_SECOND * relayCost.direct()));
        }
        return notes;
    }

    private void close() {
        if (machine != null) {
            machine.close();
        }
        if (environment != null) {
            // A draining dispatcher waits for its clients.
            loop.post(environment.transport::closeIdle);
            environment.fleet.close();
        }
        try {
            loop.stop();
        } catch (Exception e) {
            // The process of the rehearsal goes on without it.
            Thread.currentThread().interrupt();
        }
    }
}
