package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import wheelroute.config.ConfigException;
import wheelroute.config.ConfigReader;
import wheelroute.kit.process.RehearsalException;
import wheelroute.net.lifecycle.Service;

/**
 * Runs many instances of the daemon's own {@link Service} in this process, each with its own event
 * loop and sockets. Results and tables call them hollow dispatchers. Used by one thread.
 */
final class InProcessDispatchers implements AutoCloseable {
    private static final int PARALLEL_STARTS = 16;

    private final Path directory;
    private final List<Service> services = new ArrayList<>();
    private final ExecutorService startExecutor = Executors.newFixedThreadPool(PARALLEL_STARTS);

    /** Starts no dispatchers yet; their configuration files will be written to the directory. */
    InProcessDispatchers(Path directory) {
        this.directory = directory;
    }

    int size() {
        return services.size();
    }

    /** Starts dispatchers until the given number runs; returns when all have started. */
    void growTo(int count, DispatcherConfigFile config) throws IOException, RehearsalException {
        List<Future<Service>> starting = new ArrayList<>();
        for (int i = services.size(); i < count; i++) {
            Path file =
                    Files.writeString(
                            directory.resolve("hollow-" + i + ".json"),
                            config.json("h" + i, i + 1));
            starting.add(startExecutor.submit(() -> start(file)));
        }
        try {
            for (Future<Service> start : starting) {
                services.add(start.get());
            }
        } catch (InterruptedException e) {
            throw ScaleEnvironment.interrupted(e);
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            throw new RehearsalException(
                    "an in-process dispatcher failed to start: "
                            + (cause instanceof ConfigException ? cause.getMessage() : cause),
                    cause);
        }
    }

    private static Service start(Path configFile) throws Exception {
        Service service =
                new Service(ConfigReader.read(Map.of("LB_CONFIG", configFile.toString())));
        service.start();
        return service;
    }

    /** Drains all dispatchers in parallel and waits until they have ended. */
    @Override
    public void close() {
        ExecutorService drainExecutor = Executors.newCachedThreadPool();
        List<Future<?>> draining = new ArrayList<>();
        for (Service service : services) {
            draining.add(
                    drainExecutor.submit(
                            () -> {
                                service.drain();
                                return null;
                            }));
        }
        for (Future<?> drain : draining) {
            awaitDrained(drain);
        }
        drainExecutor.shutdown();
        startExecutor.shutdown();
    }

    private static void awaitDrained(Future<?> drain) {
        try {
            drain.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new InProcessDispatcherDrainException(e.getCause());
        }
    }

    /** Thrown if draining an in-process dispatcher failed. */
    static final class InProcessDispatcherDrainException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InProcessDispatcherDrainException(Throwable cause) {
            super("draining an in-process dispatcher failed", cause);
        }
    }
}
