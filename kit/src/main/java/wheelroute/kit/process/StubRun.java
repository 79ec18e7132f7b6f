package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/**
 * Runs the workers and the discovery of a scenario, with its faults, for an external dispatcher.
 */
public final class StubRun {
    private static final int STOP_POLL_MILLIS = 100;
    private static final double CONNECT_TIMEOUT_SECONDS = 1;
    private final Scenario scenario;
    private final long seed;
    private final double seconds;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT_TIMEOUT_SECONDS);

    private StubRun(Scenario scenario, long seed, double seconds) {
        this.scenario = scenario;
        this.seed = seed;
        this.seconds = seconds;
    }

    /**
     * Runs the stubs until the time is over or the run is stopped.
     *
     * @param discoveryPort 0 lets the system choose it
     * @param firstWorkerPort those of the other workers follow; 0 lets the system choose them
     * @param output gets a line of text with the address of each stub
     * @throws RehearsalException if a port cannot be used or the run fails
     */
    public static void run(
            Scenario scenario,
            long seed,
            double seconds,
            int discoveryPort,
            int firstWorkerPort,
            BooleanSupplier stop,
            Consumer<String> output)
            throws RehearsalException {
        StubRun run = new StubRun(scenario, seed, seconds);
        try {
            run.loop.start();
            LoopExecutor.submit(run.loop, () -> run.start(discoveryPort, firstWorkerPort))
                    .get()
                    .forEach(output);
            run.awaitEnd(stop);
            run.loop.stop();
        } catch (ExecutionException e) {
            throw new RehearsalException(
                    "the stubs cannot listen: " + e.getCause().getMessage(), e.getCause());
        } catch (Exception e) {
            throw new RehearsalException("the stubs failed: " + e, e);
        }
    }

    private void awaitEnd(BooleanSupplier stop) throws InterruptedException {
        long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
        while (!stop.getAsBoolean() && System.nanoTime() < endNanos) {
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    /** Faults of dispatchers have no effect: they are not processes of this run. */
    private static final class ExternalDispatchers implements ClusterModel.DispatcherControl {
        @Override
        public void kill(int dispatcher) {
            // External.
        }

        @Override
        public void terminate(int dispatcher) {
            // External.
        }

        @Override
        public void start(int dispatcher, FaultMode mode) {
            // External.
        }
    }

    /** Starts the stubs, on the event loop's thread; returns a line for each. */
    private List<String> start(int discoveryPort, int firstWorkerPort) throws IOException {
        EventLoopTimeline time = new EventLoopTimeline(loop);
        // Its findings are not reported, because it does not see the external clients' requests.
        Auditor auditor = new Auditor(scenario, time, 0);
        ClusterModel cluster =
                new ClusterModel(scenario, time, new SeededRandom(seed), seconds, auditor);
        List<StubWorker> workers = new ArrayList<>();
        for (int i = 0; i < cluster.workers.size(); i++) {
            InetSocketAddress wanted =
                    Loopback.address(firstWorkerPort == 0 ? 0 : firstWorkerPort + i);
            workers.add(new StubWorker(loop, cluster.workers.get(i), auditor, wanted));
        }
        StubDiscovery.Subject subject =
                new StubDiscovery.Subject(
                        cluster.registry,
                        auditor,
                        scenario,
                        number -> workers.get(number).address(),
                        new DiscoveryCallCounter());
        StubDiscovery discovery =
                new StubDiscovery(loop, 0, subject, Loopback.address(discoveryPort), () -> true);
        cluster.start(new ExternalDispatchers());
        List<String> lines = new ArrayList<>();
        lines.add("discovery at " + text(discovery.address()));
        for (int i = 0; i < workers.size(); i++) {
            lines.add(
                    "worker "
                            + cluster.workers.get(i).name
                            + " at "
                            + text(workers.get(i).address()));
        }
        return lines;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
