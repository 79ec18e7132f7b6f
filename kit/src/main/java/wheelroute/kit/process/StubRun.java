package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
 * Workers and discovery of a scenario, with its faults, for a dispatcher that somebody else
 * started.
 */
public final class StubRun {
    private static final int POLL_MILLIS = 100;
    private static final double CONNECT = 1;
    private static final double NANOS = 1e9;

    private StubRun() {}

    /** Until the time is over or it is told to stop. Ports of 0 are the system's choice. */
    public static void run(
            Scenario scenario,
            long seed,
            double seconds,
            int discoveryPort,
            int firstWorker,
            BooleanSupplier stop,
            Consumer<String> tell)
            throws RehearsalException {
        EventLoop loop = new EventLoop(new Clock(), CONNECT);
        try {
            loop.start();
            CompletableFuture<List<String>> ready = new CompletableFuture<>();
            loop.post(
                    () -> {
                        try {
                            ready.complete(
                                    begin(
                                            loop,
                                            scenario,
                                            seed,
                                            seconds,
                                            discoveryPort,
                                            firstWorker));
                        } catch (IOException | RuntimeException e) {
                            ready.completeExceptionally(e);
                        }
                    });
            ready.get().forEach(tell);
            long end = System.nanoTime() + (long) (seconds * NANOS);
            while (!stop.getAsBoolean() && System.nanoTime() < end) {
                Thread.sleep(POLL_MILLIS);
            }
            loop.stop();
        } catch (ExecutionException e) {
            throw new RehearsalException(
                    "the stand-ins cannot listen: " + e.getCause().getMessage());
        } catch (Exception e) {
            throw new RehearsalException("the stand-ins broke off: " + e);
        }
    }

    /** Dispatchers that somebody else starts and ends. */
    private static final class ForeignDispatchers implements ClusterModel.DispatcherControl {
        @Override
        public void kill(int dispatcher) {
            // Not ours.
        }

        @Override
        public void terminate(int dispatcher) {
            // Not ours.
        }

        @Override
        public void start(int dispatcher, FaultMode how) {
            // Not ours.
        }
    }

    private static List<String> begin(
            EventLoop loop,
            Scenario scenario,
            long seed,
            double seconds,
            int discoveryPort,
            int firstWorker)
            throws IOException {
        EventLoopTimeline time = new EventLoopTimeline(loop);
        // Somebody else's requests are unknown to it: what it finds says nothing here, and is
        // not told.
        Auditor auditor = new Auditor(scenario, time, 0);
        ClusterModel cluster =
                new ClusterModel(scenario, time, new SeededRandom(seed), seconds, auditor);
        List<StubWorker> workers = new ArrayList<>();
        for (int i = 0; i < cluster.workers.size(); i++) {
            workers.add(
                    new StubWorker(
                            loop,
                            cluster.workers.get(i),
                            auditor,
                            local(firstWorker == 0 ? 0 : firstWorker + i)));
        }
        StubDiscovery.Subject subject =
                new StubDiscovery.Subject(
                        cluster.registry,
                        auditor,
                        scenario,
                        n -> workers.get(n).address(),
                        new DiscoveryCallCounter());
        StubDiscovery list = new StubDiscovery(loop, 0, subject, local(discoveryPort), () -> true);
        cluster.start(new ForeignDispatchers());
        List<String> lines = new ArrayList<>();
        lines.add("discovery at " + text(list.address()));
        for (int i = 0; i < workers.size(); i++) {
            lines.add(
                    "worker "
                            + cluster.workers.get(i).name
                            + " at "
                            + text(workers.get(i).address()));
        }
        return lines;
    }

    private static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
