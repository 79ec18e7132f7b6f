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
 * Hollow dispatchers: the daemon's own {@link Service} many times in this process, each with an
 * event loop and sockets of its own. Used by one thread.
 */
final class HollowDispatchers implements AutoCloseable {
    private static final int PARALLEL_STARTS = 16;

    private final Path directory;
    private final List<Service> services = new ArrayList<>();
    private final ExecutorService starter = Executors.newFixedThreadPool(PARALLEL_STARTS);

    /** Creates none yet; their configuration files will be in the given directory. */
    HollowDispatchers(Path directory) {
        this.directory = directory;
    }

    int size() {
        return services.size();
    }

    /** Starts dispatchers until there are as many as given; returns once all have started. */
    void growTo(int count, DispatcherConfigFile config) throws IOException, RehearsalException {
        List<Future<Service>> starting = new ArrayList<>();
        for (int i = services.size(); i < count; i++) {
            Path file =
                    Files.writeString(
                            directory.resolve("hollow-" + i + ".json"),
                            config.json("h" + i, i + 1));
            starting.add(starter.submit(() -> start(file)));
        }
        try {
            for (Future<Service> one : starting) {
                services.add(one.get());
            }
        } catch (InterruptedException e) {
            throw ScaleEnvironment.interrupted(e);
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            throw new RehearsalException(
                    "a hollow dispatcher did not start: "
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

    /** Drains all dispatchers in parallel and waits for them. */
    @Override
    public void close() {
        ExecutorService drainer = Executors.newCachedThreadPool();
        List<Future<?>> draining = new ArrayList<>();
        for (Service service : services) {
            draining.add(
                    drainer.submit(
                            () -> {
                                service.drain();
                                return null;
                            }));
        }
        for (Future<?> one : draining) {
            awaitDrained(one);
        }
        drainer.shutdown();
        starter.shutdown();
    }

    private static void awaitDrained(Future<?> draining) {
        try {
            draining.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new HollowDispatcherDrainException(e.getCause());
        }
    }

    /** Thrown if a hollow dispatcher could not be shut down. */
    static final class HollowDispatcherDrainException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        HollowDispatcherDrainException(Throwable cause) {
            super("a hollow dispatcher could not be drained", cause);
        }
    }
}
