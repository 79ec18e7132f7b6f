package wheelroute.kit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import wheelroute.config.ConfigException;
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
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.strategy.Strategy;

/** One run on the virtual clock. */
public final class SimulationRun {
    /**
     * After the last ask has ended the world goes on for so long: what comes too late must be seen.
     */
    private static final double SETTLE_TIME = 2;

    /** Ways that cross: a launch and an answer, each there and back. */
    private static final double LINK_CROSSINGS = 4;

    /** How often a run looks whether it is to stop. */
    private static final int STOP_CHECK_STEPS = 4096;

    private SimulationRun() {}

    /** Plays it to its end, or until it is told to stop. */
    public static Report run(
            Scenario written,
            long seed,
            double seconds,
            Map<String, String> variant,
            String variantName,
            Function<ClusterModel, Strategy.Factory> maker,
            BooleanSupplier stop)
            throws ConfigException {
        Scenario scenario = FaultScheduleGenerator.withRandomFaults(written, seed);
        SimulatedTime time = new SimulatedTime();
        SeededRandom random = new SeededRandom(seed);
        double slack = LINK_CROSSINGS * (scenario.network().delay() + scenario.network().jitter());
        Auditor auditor = new Auditor(scenario, time, slack);
        Recorder recorder = new Recorder(scenario, time, seconds, auditor);
        ClusterModel cluster = new ClusterModel(scenario, time, random, seconds, recorder);
        Map<String, String> pairs = DaemonSettings.pairs(scenario, variant);
        List<SimulatedDispatcher> dispatchers = new ArrayList<>();
        Strategy.Factory strategies = maker.apply(cluster);
        for (int i = 0; i < scenario.dispatchers(); i++) {
            dispatchers.add(
                    new SimulatedDispatcher(
                            i,
                            cluster,
                            DaemonSettings.settings(
                                    random.seedOf(SeededRandom.Purpose.STRATEGY, i, 0),
                                    DaemonSettings.pairsOf(scenario, i, pairs)),
                            strategies,
                            auditor));
        }
        Clients clients =
                new Clients(scenario, time, random, seconds, transport(dispatchers), recorder);
        dispatchers.forEach(dispatcher -> dispatcher.clients(clients));
        dispatchers.forEach(SimulatedDispatcher::start);
        cluster.start(dispatcherControl(cluster, dispatchers));
        recorder.start(cluster, clients);
        boolean partial = false;
        int steps = 0;
        while (!clients.isOver() && !partial && time.step()) {
            partial = ++steps % STOP_CHECK_STEPS == 0 && stop.getAsBoolean();
        }
        double end = time.now() + SETTLE_TIME;
        while (!partial && time.now() < end && time.step()) {
            partial = ++steps % STOP_CHECK_STEPS == 0 && stop.getAsBoolean();
        }
        auditor.finish();
        Report.Run run =
                new Report.Run(
                        scenario.name(),
                        scenario.title(),
                        "virtual",
                        variantName,
                        seed,
                        seconds,
                        scenario.workers(),
                        scenario.dispatchers());
        return Report.of(
                run, recorder, auditor, cluster, Report.Lag.NONE, Report.Extra.NONE, partial);
    }

    private static Clients.Transport transport(List<SimulatedDispatcher> dispatchers) {
        return new Clients.Transport() {
            @Override
            public void submit(ClientAttempt submitted) {
                dispatchers.get(submitted.dispatcher()).submit(submitted);
            }

            @Override
            public void cancel(ClientAttempt submitted) {
                dispatchers.get(submitted.dispatcher()).cancel(submitted);
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
            public void start(int dispatcher, Scenario.How how) {
                dispatchers.get(dispatcher).start();
            }

            @Override
            public void setPaused(int dispatcher, boolean begins) {
                dispatchers.get(dispatcher).setPaused(begins);
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
