package wheelroute.kit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import wheelroute.config.ConfigException;
import wheelroute.decision.Settings;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.faults.ActiveLinkFaults;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.strategy.Strategy;

/** A run of a scenario in simulated time. */
public final class SimulationRun {
    /** Duration of the run after its last request, to observe late attempts and responses. */
    private static final double SETTLE_SECONDS = 2;

    /** Messages of a request: to the dispatcher, to the worker, and back from each of them. */
    private static final double MESSAGES_PER_REQUEST = 4;

    /** Number of steps between two calls of the stop condition. */
    private static final int STOP_CHECK_STEPS = 4096;

    private final SimulatedTime time = new SimulatedTime();
    private final BooleanSupplier stop;
    private int stepCount;
    private boolean isStopped;

    private SimulationRun(BooleanSupplier stop) {
        this.stop = stop;
    }

    /**
     * Runs a scenario to its end.
     *
     * @param scenarioTemplate the scenario, with its random faults not drawn yet
     * @param seconds how long requests arrive, in seconds
     * @param variant settings that override those of the scenario
     * @param variantName name of the variant in the report
     * @param strategies creates the dispatchers' strategies
     * @param stop returns true to end the run early, which makes the report partial
     * @throws ConfigException if the settings are invalid
     */
    public static Report run(
            Scenario scenarioTemplate,
            long seed,
            double seconds,
            Map<String, String> variant,
            String variantName,
            Function<ClusterModel, Strategy.Factory> strategies,
            BooleanSupplier stop)
            throws ConfigException {
        Scenario scenario = FaultScheduleGenerator.withRandomFaults(scenarioTemplate, seed);
        Report.Run run =
                new Report.Run(
                        scenario.name(),
                        scenario.title(),
                        "virtual",
                        variantName,
                        seed,
                        seconds,
                        scenario.workerCount(),
                        scenario.dispatcherCount());
        return new SimulationRun(stop).run(scenario, run, variant, strategies);
    }

    private Report run(
            Scenario scenario,
            Report.Run run,
            Map<String, String> variant,
            Function<ClusterModel, Strategy.Factory> strategies)
            throws ConfigException {
        SeededRandom random = new SeededRandom(run.seed());
        double slackSeconds =
                MESSAGES_PER_REQUEST
                        * (scenario.network().delaySeconds() + scenario.network().jitterSeconds());
        Auditor auditor = new Auditor(scenario, time, slackSeconds);
        Recorder recorder = new Recorder(scenario, time, run.durationSeconds(), auditor);
        ClusterModel cluster =
                new ClusterModel(scenario, time, random, run.durationSeconds(), recorder);
        Map<String, String> settingsByPath = DaemonSettings.settingsByPath(scenario, variant);
        List<SimulatedDispatcher> dispatchers =
                dispatchers(cluster, settingsByPath, strategies.apply(cluster), auditor);
        Clients clients =
                new Clients(
                        scenario,
                        time,
                        random,
                        run.durationSeconds(),
                        transport(dispatchers),
                        recorder);
        dispatchers.forEach(dispatcher -> dispatcher.setClients(clients));
        dispatchers.forEach(SimulatedDispatcher::start);
        cluster.start(dispatcherControl(cluster, dispatchers));
        recorder.start(cluster, clients);
        advanceWhile(() -> !clients.isOver());
        double end = time.now() + SETTLE_SECONDS;
        advanceWhile(() -> time.now() < end);
        auditor.finish();
        return Report.of(
                run,
                recorder,
                auditor,
                cluster,
                Report.MachineLag.NONE,
                Report.Measurements.NONE,
                isStopped);
    }

    private static List<SimulatedDispatcher> dispatchers(
            ClusterModel cluster,
            Map<String, String> settingsByPath,
            Strategy.Factory factory,
            Auditor auditor)
            throws ConfigException {
        Scenario scenario = cluster.scenario;
        List<SimulatedDispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < scenario.dispatcherCount(); i++) {
            Settings settings =
                    DaemonSettings.settings(
                            cluster.random.seedOf(SeededRandom.Purpose.STRATEGY, i, 0),
                            DaemonSettings.settingsOfDispatcher(scenario, i, settingsByPath));
            dispatchers.add(new SimulatedDispatcher(i, cluster, settings, factory, auditor));
        }
        return dispatchers;
    }

    /** Runs tasks while there are any, the condition holds and the run is not stopped. */
    private void advanceWhile(BooleanSupplier condition) {
        while (condition.getAsBoolean() && !isStopped && time.step()) {
            stepCount++;
            isStopped = stepCount % STOP_CHECK_STEPS == 0 && stop.getAsBoolean();
        }
    }

    private static Clients.Transport transport(List<SimulatedDispatcher> dispatchers) {
        return new Clients.Transport() {
            @Override
            public void submit(ClientAttempt clientAttempt) {
                dispatchers.get(clientAttempt.dispatcher()).submit(clientAttempt);
            }

            @Override
            public void cancel(ClientAttempt clientAttempt) {
                dispatchers.get(clientAttempt.dispatcher()).cancel(clientAttempt);
            }

            @Override
            public boolean isOpen(int dispatcher) {
                return dispatchers.get(dispatcher).isListening();
            }
        };
    }

    private static ClusterModel.DispatcherControl dispatcherControl(
            ClusterModel cluster, List<SimulatedDispatcher> dispatchers) {
        ActiveLinkFaults links =
                new ActiveLinkFaults(
                        (link, state) ->
                                dispatchers.get(link.dispatcher()).onLinkChanged(link, state));
        List<Scenario.WorkerGroup> groups =
                cluster.workers.stream().map(worker -> worker.group).toList();
        return new ClusterModel.DispatcherControl() {
            @Override
            public void kill(int dispatcher) {
                dispatchers.get(dispatcher).kill();
            }

            @Override
            public void terminate(int dispatcher) {
                dispatchers.get(dispatcher).terminate();
            }

            @Override
            public void start(int dispatcher, FaultMode mode) {
                dispatchers.get(dispatcher).start();
            }

            @Override
            public void setPaused(int dispatcher, boolean paused) {
                dispatchers.get(dispatcher).setPaused(paused);
            }

            @Override
            public void setLinkFault(
                    Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
                links.set(
                        fault,
                        begins,
                        NetworkLink.of(fault, dispatcher, targets, dispatchers.size(), groups));
            }
        };
    }
}
