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
    private static final double AFTERWARDS = 2;

    /** Ways that cross: a launch and an answer, each there and back. */
    private static final double CROSSINGS = 4;

    /** How often a run looks whether it is to stop. */
    private static final int LOOK = 4096;

    private SimulationRun() {}

    /** Plays it to its end, or until it is told to stop. */
    public static Report play(
            Scenario written,
            long seed,
            double seconds,
            Map<String, String> variant,
            String variantName,
            Function<ClusterModel, Strategy.Factory> maker,
            BooleanSupplier stop)
            throws ConfigException {
        Scenario scenario = FaultScheduleGenerator.drawn(written, seed);
        SimulatedTime time = new SimulatedTime();
        SeededRandom chance = new SeededRandom(seed);
        double slack = CROSSINGS * (scenario.network().delay() + scenario.network().jitter());
        Auditor auditor = new Auditor(scenario, time, slack);
        Recorder recorder = new Recorder(scenario, time, seconds, auditor);
        ClusterModel world = new ClusterModel(scenario, time, chance, seconds, recorder);
        Map<String, String> pairs = DaemonSettings.pairs(scenario, variant);
        List<SimulatedDispatcher> dispatchers = new ArrayList<>();
        Strategy.Factory brains = maker.apply(world);
        for (int i = 0; i < scenario.dispatchers(); i++) {
            dispatchers.add(
                    new SimulatedDispatcher(
                            i,
                            world,
                            DaemonSettings.settings(
                                    chance.key(SeededRandom.Purpose.BRAIN, i, 0),
                                    DaemonSettings.pairsOf(scenario, i, pairs)),
                            brains,
                            auditor));
        }
        Clients clients = new Clients(scenario, time, chance, seconds, door(dispatchers), recorder);
        dispatchers.forEach(dispatcher -> dispatcher.clients(clients));
        dispatchers.forEach(SimulatedDispatcher::start);
        world.begin(faults(world, dispatchers));
        recorder.begins(world, clients);
        boolean partial = false;
        int steps = 0;
        while (!clients.isOver() && !partial && time.step()) {
            partial = ++steps % LOOK == 0 && stop.getAsBoolean();
        }
        double end = time.now() + AFTERWARDS;
        while (!partial && time.now() < end && time.step()) {
            partial = ++steps % LOOK == 0 && stop.getAsBoolean();
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
                run, recorder, auditor, world, Report.Lag.NONE, Report.Extra.NONE, partial);
    }

    private static Clients.Transport door(List<SimulatedDispatcher> dispatchers) {
        return new Clients.Transport() {
            @Override
            public void submit(ClientAttempt submitted) {
                dispatchers.get(submitted.dispatcher()).submit(submitted);
            }

            @Override
            public void hangUp(ClientAttempt submitted) {
                dispatchers.get(submitted.dispatcher()).hangUp(submitted);
            }

            @Override
            public boolean isOpen(int dispatcher) {
                return dispatchers.get(dispatcher).listens();
            }
        };
    }

    private static ClusterModel.DispatcherControl faults(
            ClusterModel world, List<SimulatedDispatcher> dispatchers) {
        ActiveLinkFaults links =
                new ActiveLinkFaults(
                        (way, passage) -> dispatchers.get(way.dispatcher()).harmed(way, passage));
        List<Scenario.WorkerGroup> groups =
                world.workers.stream().map(worker -> worker.group).toList();
        return new ClusterModel.DispatcherControl() {
            @Override
            public void kill(int dispatcher) {
                dispatchers.get(dispatcher).kill();
            }

            @Override
            public void end(int dispatcher) {
                dispatchers.get(dispatcher).end();
            }

            @Override
            public void start(int dispatcher, Scenario.How how) {
                dispatchers.get(dispatcher).start();
            }

            @Override
            public void pause(int dispatcher, boolean begins) {
                dispatchers.get(dispatcher).pause(begins);
            }

            @Override
            public void harm(Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
                links.set(
                        fault,
                        begins,
                        NetworkLink.of(fault, dispatcher, targets, dispatchers.size(), groups));
            }
        };
    }
}
