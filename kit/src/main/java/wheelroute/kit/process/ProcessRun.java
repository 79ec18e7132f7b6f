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
 * Runs a scenario in real time. Each dispatcher is a process of its own; workers, discovery and
 * clients are stubs on one thread of this process.
 */
public final class ProcessRun {
    /**
     * Time between the readiness of the last dispatcher and the first request, for the dispatchers
     * to load their endpoint lists.
     */
    private static final double SETTLE_SECONDS = 0.7;

    /** Time for which the run continues after the last request, to observe late effects. */
    private static final double FINAL_OBSERVATION_SECONDS = 1;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;
    private static final double END_CHECK_INTERVAL_SECONDS = 0.01;
    private static final int POLL_MILLIS = 50;
    private static final double PROGRESS_INTERVAL_SECONDS = 5;

    /** Settings key of a variant whose dispatchers are not configured as peers of each other. */
    private static final String NO_PEERS = "no_peers";

    /**
     * Options of a run.
     *
     * @param scenario scenario to run; {@link #run} draws its random faults
     * @param seconds period during which requests arrive
     * @param settings settings that differ from those of the scenario
     * @param variantName name of these settings in the report
     * @param jar build of the dispatchers; null for the build of this kit
     * @param olderJar build with which a dispatcher is started where a fault requests an older one;
     *     null for none
     */
    public record Options(
            Scenario scenario,
            long seed,
            double seconds,
            Map<String, String> settings,
            String variantName,
            Path jar,
            Path olderJar) {
        /**
         * Returns a copy of these options with random faults drawn and without keys that are not
         * settings of the dispatcher.
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
                    olderJar);
        }
    }

    private final Options options;
    private final boolean hasPeers;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT_TIMEOUT_SECONDS);
    private final LoopExecutor executor = new LoopExecutor(loop);
    private final TimerLag timerLag = new TimerLag(loop);

    // These fields are null before the run has started.
    private RunEnvironment environment;
    private MembershipCheck membership;
    private SchedulerDelayMonitor schedulerDelay;
    private RelayLatency.RoundTrips relayLatency = RelayLatency.RoundTrips.NOT_MEASURED;
    private volatile boolean isOver;

    /** Reason why the run cannot continue; null while it can. */
    private volatile String failure;

    private ProcessRun(Options options) {
        hasPeers = options.scenario().peersEnabled() && !options.settings().containsKey(NO_PEERS);
        this.options = options.prepared();
    }

    /**
     * Runs a scenario to its end.
     *
     * @param stop polled during the run; ends it early with a partial report when it returns true
     * @param progress receives a line of text every few seconds
     * @throws RehearsalException if the run fails on this machine or a dispatcher does not start
     * @throws ConfigException if the settings are invalid
     */
    public static Report run(Options options, BooleanSupplier stop, Consumer<String> progress)
            throws RehearsalException, ConfigException {
        ProcessRun run = new ProcessRun(options);
        // Checks the settings before any process is started; throws if they are invalid.
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
        CompletableFuture<RelayLatency.RoundTrips> roundTrips = new CompletableFuture<>();
        executor.run(
                () -> {
                    createEnvironment();
                    if (environment.links.areRelayed()) {
                        RelayLatency.measure(loop, roundTrips::complete);
                    } else {
                        roundTrips.complete(RelayLatency.RoundTrips.NOT_MEASURED);
                    }
                });
        // Waits before the dispatchers start, because their start would disturb the measurement.
        relayLatency = roundTrips.get(LoopExecutor.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        executor.run(
                () -> {
                    for (int i = 0; i < options.scenario().dispatcherCount(); i++) {
                        environment.fleet.start(i, FaultMode.UNCHANGED);
                    }
                });
        awaitReady();
        schedulerDelay = new SchedulerDelayMonitor(this::processes);
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
                membership.start(FINAL_OBSERVATION_SECONDS / 2);
            }
            loop.schedule(FINAL_OBSERVATION_SECONDS, () -> isOver = true);
        } else {
            loop.schedule(END_CHECK_INTERVAL_SECONDS, this::checkEnd);
        }
    }

    /**
     * Returns the dispatchers' processes; an empty list if the event loop does not answer within
     * the timeout.
     */
    private List<Process> processes() {
        try {
            return LoopExecutor.submit(loop, this::fleetProcesses)
                    .get(LoopExecutor.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            return List.of();
        }
    }

    private List<Process> fleetProcesses() {
        List<Process> processes = new ArrayList<>();
        for (int i = 0; i < options.scenario().dispatcherCount(); i++) {
            environment.fleet.processes(i).forEach(daemon -> processes.add(daemon.process()));
        }
        return processes;
    }

    /**
     * Waits for the end of the run.
     *
     * @return whether the run was stopped before its end
     */
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
                new Report.MachineLag(
                        timerLag.p99(), timerLag.max(), schedulerDelay.p99(), schedulerDelay.max());
        return new ProcessRunReport(options, environment, membership, relayLatency, lag)
                .create(isPartial);
    }

    private void close() {
        if (schedulerDelay != null) {
            schedulerDelay.close();
        }
        if (environment != null) {
            // A draining dispatcher waits until its clients have closed their connections.
            loop.post(environment.transport::closeIdle);
            environment.fleet.close();
        }
        try {
            loop.stop();
        } catch (Exception e) {
            // The report is complete, so a failure to stop the loop does not matter.
            Thread.currentThread().interrupt();
        }
    }
}
