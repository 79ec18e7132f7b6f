package wheelroute.kit.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import wheelroute.config.ConfigException;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.brain.Brain;
import wheelroute.kit.many.Links;
import wheelroute.kit.many.Way;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.Draw;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.world.Chance;
import wheelroute.kit.world.Clients;
import wheelroute.kit.world.Submitted;
import wheelroute.kit.world.World;

/** One run on the virtual clock. */
public final class VirtualRun {
    /**
     * After the last ask has ended the world goes on for so long: what comes too late must be seen.
     */
    private static final double AFTERWARDS = 2;

    /** Ways that cross: a launch and an answer, each there and back. */
    private static final double CROSSINGS = 4;

    /** How often a run looks whether it is to stop. */
    private static final int LOOK = 4096;

    private VirtualRun() {}

    /** Plays it to its end, or until it is told to stop. */
    public static Report play(
            Scenario written,
            long seed,
            double seconds,
            Map<String, String> variant,
            String variantName,
            Function<World, Brain.Maker> maker,
            BooleanSupplier stop)
            throws ConfigException {
        Scenario scenario = Draw.drawn(written, seed);
        VirtualTime time = new VirtualTime();
        Chance chance = new Chance(seed);
        double slack = CROSSINGS * (scenario.network().delay() + scenario.network().jitter());
        Auditor auditor = new Auditor(scenario, time, slack);
        Recorder recorder = new Recorder(scenario, time, seconds, auditor);
        World world = new World(scenario, time, chance, seconds, recorder);
        Map<String, String> pairs = DaemonSettings.pairs(scenario, variant);
        List<VirtualDispatcher> dispatchers = new ArrayList<>();
        Brain.Maker brains = maker.apply(world);
        for (int i = 0; i < scenario.dispatchers(); i++) {
            dispatchers.add(
                    new VirtualDispatcher(
                            i,
                            world,
                            DaemonSettings.settings(
                                    chance.key(Chance.Of.BRAIN, i, 0),
                                    DaemonSettings.pairsOf(scenario, i, pairs)),
                            brains,
                            auditor));
        }
        Clients clients = new Clients(scenario, time, chance, seconds, door(dispatchers), recorder);
        dispatchers.forEach(dispatcher -> dispatcher.clients(clients));
        dispatchers.forEach(VirtualDispatcher::start);
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

    private static Clients.Door door(List<VirtualDispatcher> dispatchers) {
        return new Clients.Door() {
            @Override
            public void submit(Submitted submitted) {
                dispatchers.get(submitted.dispatcher()).submit(submitted);
            }

            @Override
            public void hangUp(Submitted submitted) {
                dispatchers.get(submitted.dispatcher()).hangUp(submitted);
            }

            @Override
            public boolean isOpen(int dispatcher) {
                return dispatchers.get(dispatcher).listens();
            }
        };
    }

    private static World.Dispatchers faults(World world, List<VirtualDispatcher> dispatchers) {
        Links links =
                new Links((way, passage) -> dispatchers.get(way.dispatcher()).harmed(way, passage));
        List<Scenario.WorkerGroup> groups =
                world.workers.stream().map(worker -> worker.group).toList();
        return new World.Dispatchers() {
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
                        Way.of(fault, dispatcher, targets, dispatchers.size(), groups));
            }
        };
    }
}
