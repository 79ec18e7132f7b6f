package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

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
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/**
 * Runs a scenario in real time: each dispatcher is a process of its own; workers, discovery and
 * clients are stubs on one thread of this process.
 */
public final class ProcessRun {
    /** Time between the last dispatcher's readiness and the first request, to load the lists. */
    private static final double SETTLE_SECONDS = 0.7;

    /** The run continues for this time after the last request, to observe late effects. */
    private static final double FINAL_SECONDS = 1;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;
    private static final double END_CHECK_INTERVAL_SECONDS = 0.01;
    private static final int POLL_MILLIS = 50;
    private static final double PROGRESS_INTERVAL_SECONDS = 5;

    /** The key of a variant whose dispatchers do not know each other. */
    private static final String NO_PEERS = "no_peers";

    /**
     * What is run.
     *
     * @param scenario {@link #run} draws its random faults
     * @param seconds during which requests arrive
     * @param settings that differ from the scenario's
     * @param variantName of these settings, for the report
     * @param jar the dispatchers' build; null for this one
     * @param older the build that replaces it where a fault says so; null for none
     */
    public record Options(
            Scenario scenario,
            long seed,
            double seconds,
            Map<String, String> settings,
            String variantName,
            Path jar,
            Path older) {
        /**
         * Returns these options with random faults drawn, and without keys that are not settings.
         */
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
    private final boolean hasPeers;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT_TIMEOUT_SECONDS);
    private final LoopExecutor executor = new LoopExecutor(loop);
    private final TimerLag timerLag = new TimerLag(loop);

    // Null before the run has started.
    private RunEnvironment environment;
    private MembershipCheck membership;
    private MachineMonitor machine;
    private RelayCost.Cost relayCost = RelayCost.Cost.NONE;
    private volatile boolean isOver;

    /** Why the run cannot go on; null while it can. */
    private volatile String failure;

    private ProcessRun(Options options) {
        hasPeers = options.scenario().peersEnabled() && !options.settings().containsKey(NO_PEERS);
        this.options = options.prepared();
    }

    /**
     * Runs a scenario to its end.
     *
     * @param stop ends the run early when it returns true; the report is partial then
     * @param progress gets a line of text every few seconds
     * @throws RehearsalException if the run cannot be made on this machine, or a dispatcher does
     *     not start
     * @throws ConfigException if the settings cannot be used
     */
    public static Report run(Options options, BooleanSupplier stop, Consumer<String> progress)
            throws RehearsalException, ConfigException {
        ProcessRun run = new ProcessRun(options);
        // Throws before any process is started if the settings are invalid.
        DaemonSettings.settings(
                options.seed(),
                DaemonSettings.settingsByPath(run.options.scenario(), run.options.settings()));
        try {
            run.start();
            boolean isPartial = run.awaitEnd(stop, progress);
            return run.executor.call(() -> run.report(isPartial));
        } catch (RehearsalException e) {
            throw e;
        } catch (Exception e) {
            throw new RehearsalException("the run failed: " + e, e);
        } finally {
            run.close();
        }
    }

    private void start() throws Exception {
        loop.start();
        CompletableFuture<RelayCost.Cost> cost = new CompletableFuture<>();
        executor.run(
                () -> {
                    createEnvironment();
                    if (environment.links.areRelayed()) {
                        RelayCost.measure(loop, cost::complete);
                    } else {
                        cost.complete(RelayCost.Cost.NONE);
                    }
                });
        // Before the dispatchers start, which would disturb the measurement.
        relayCost = cost.get(LoopExecutor.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        executor.run(
                () -> {
                    for (int i = 0; i < options.scenario().dispatcherCount(); i++) {
                        environment.fleet.start(i, FaultMode.USUAL);
                    }
                });
        awaitReady();
        machine = new MachineMonitor(this::processes);
        executor.run(() -> loop.schedule(SETTLE_SECONDS, this::startRequests));
    }

    private void createEnvironment() throws Exception {
        environment = new RunEnvironment(options, loop, hasPeers, reason -> failure = reason);
        membership =
                new MembershipCheck(
                        loop,
                        environment.fleet,
                        options.scenario().dispatcherCount(),
                        environment.transport::isOpen);
    }

    private void awaitReady() throws RehearsalException, InterruptedException {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.SECONDS.toNanos(Fleet.READY_TIMEOUT_SECONDS);
        while (!environment.allReady.isDone()) {
            throwIfFailed();
            if (System.nanoTime() > deadlineNanos) {
                throw new RehearsalException(
                        "a dispatcher was not ready after " + Fleet.READY_TIMEOUT_SECONDS + " s");
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
            if (hasPeers) {
                membership.start(FINAL_SECONDS / 2);
            }
            loop.schedule(FINAL_SECONDS, () -> isOver = true);
        } else {
            loop.schedule(END_CHECK_INTERVAL_SECONDS, this::checkEnd);
        }
    }

    /** Returns the dispatchers' processes; none if the event loop does not answer in time. */
    private List<Process> processes() {
        try {
            return LoopExecutor.submit(loop, this::processesOfFleet)
                    .get(LoopExecutor.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            return List.of();
        }
    }

    private List<Process> processesOfFleet() {
        List<Process> processes = new ArrayList<>();
        for (int i = 0; i < options.scenario().dispatcherCount(); i++) {
            environment.fleet.processes(i).forEach(daemon -> processes.add(daemon.process()));
        }
        return processes;
    }

    /** Waits for the end of the run; returns whether it was stopped before. */
    private boolean awaitEnd(BooleanSupplier stop, Consumer<String> progress) throws Exception {
        double lastProgressSeconds = 0;
        long startedNanos = System.nanoTime();
        while (!isOver) {
            throwIfFailed();
            if (stop.getAsBoolean()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
            double elapsedSeconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
            if (elapsedSeconds - lastProgressSeconds >= PROGRESS_INTERVAL_SECONDS) {
                lastProgressSeconds = elapsedSeconds;
                progress.accept(executor.call(() -> progressText(elapsedSeconds)));
            }
        }
        return false;
    }

    private String progressText(double elapsedSeconds) {
        return String.format(
                Locale.ROOT,
                "%.0f of %.0f s: %d requests sent",
                elapsedSeconds,
                options.seconds(),
                environment.recorder.tally().requestCount());
    }

    private void throwIfFailed() throws RehearsalException {
        if (failure != null) {
            throw new RehearsalException(failure);
        }
    }

    private Report report(boolean isPartial) throws RehearsalException {
        Report.MachineLag lag =
                new Report.MachineLag(timerLag.p99(), timerLag.max(), machine.p99(), machine.max());
        return new ProcessRunReport(options, environment, membership, relayCost, lag)
                .create(isPartial);
    }

    private void close() {
        if (machine != null) {
            machine.close();
        }
        if (environment != null) {
            // A draining dispatcher waits until its clients have closed.
            loop.post(environment.transport::closeIdle);
            environment.fleet.close();
        }
        try {
            loop.stop();
        } catch (Exception e) {
            // The report is complete without it.
            Thread.currentThread().interrupt();
        }
    }
}
