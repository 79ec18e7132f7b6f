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
     * Runs the stubs until the period ends or the run is stopped.
     *
     * @param seconds period of the run
     * @param discoveryPort port of discovery; 0 lets the system choose it
     * @param firstWorkerPort port of the first worker, followed by those of the other workers; 0
     *     lets the system choose all of them
     * @param stop polled during the run; ends it early when it returns true
     * @param output receives a line of text with the address of each stub
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
                    "a stub cannot listen: " + e.getCause().getMessage(), e.getCause());
        } catch (Exception e) {
            throw new RehearsalException("the run of the stubs failed: " + e, e);
        }
    }

    private void awaitEnd(BooleanSupplier stop) throws InterruptedException {
        long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
        while (!stop.getAsBoolean() && System.nanoTime() < endNanos) {
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    /** Ignores the faults of dispatchers, because these are not processes of this run. */
    private static final class ExternalDispatchers implements ClusterModel.DispatcherControl {
        @Override
        public void kill(int dispatcher) {
            // The dispatcher is not a process of this run.
        }

        @Override
        public void terminate(int dispatcher) {
            // The dispatcher is not a process of this run.
        }

        @Override
        public void start(int dispatcher, FaultMode mode) {
            // The dispatcher is not a process of this run.
        }
    }

    /**
     * Starts the stubs. Must be called on the event loop's thread.
     *
     * @return a line of text with the address of each stub
     */
    private List<String> start(int discoveryPort, int firstWorkerPort) throws IOException {
        EventLoopTimeline timeline = new EventLoopTimeline(loop);
        // The findings of this auditor are not reported, because it does not observe the
        // requests of external clients.
        Auditor auditor = new Auditor(scenario, timeline, 0);
        ClusterModel cluster =
                new ClusterModel(scenario, timeline, new SeededRandom(seed), seconds, auditor);
        List<StubWorker> workers = new ArrayList<>();
        for (int i = 0; i < cluster.workers.size(); i++) {
            InetSocketAddress listenAddress =
                    Loopback.address(firstWorkerPort == 0 ? 0 : firstWorkerPort + i);
            workers.add(new StubWorker(loop, cluster.workers.get(i), auditor, listenAddress));
        }
        StubDiscovery.RunContext context =
                new StubDiscovery.RunContext(
                        cluster.registry,
                        auditor,
                        scenario,
                        number -> workers.get(number).address(),
                        new DiscoveryCallCounter());
        StubDiscovery discovery =
                new StubDiscovery(loop, 0, context, Loopback.address(discoveryPort), () -> true);
        cluster.start(new ExternalDispatchers());
        List<String> lines = new ArrayList<>();
        lines.add("discovery at " + formatAddress(discovery.address()));
        for (int i = 0; i < workers.size(); i++) {
            lines.add(
                    "worker "
                            + cluster.workers.get(i).name
                            + " at "
                            + formatAddress(workers.get(i).address()));
        }
        return lines;
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
