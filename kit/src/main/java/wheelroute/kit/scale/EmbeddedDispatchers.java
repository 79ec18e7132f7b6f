package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import wheelroute.config.ConfigException;
import wheelroute.config.ConfigReader;
import wheelroute.kit.process.RehearsalException;
import wheelroute.net.lifecycle.Service;

/**
 * Many dispatchers in this process: the daemon's own service each, with a loop and sockets of its
 * own.
 */
final class EmbeddedDispatchers implements AutoCloseable {
    private static final int AT_ONCE = 16;

    private final Path folder;
    private final List<Service> services = new ArrayList<>();
    private final ExecutorService starts = Executors.newFixedThreadPool(AT_ONCE);

    EmbeddedDispatchers(Path folder) {
        this.folder = folder;
    }

    int size() {
        return services.size();
    }

    /** Returns once so many are up; each has a configuration, and so a seed, of its own. */
    void growTo(int many, DispatcherConfigFile terms) throws IOException, RehearsalException {
        List<Future<Service>> starting = new ArrayList<>();
        for (int i = services.size(); i < many; i++) {
            Path file =
                    Files.writeString(
                            folder.resolve("hollow-" + i + ".json"), terms.config("h" + i, i + 1));
            starting.add(
                    starts.submit(
                            () -> {
                                Service service =
                                        new Service(
                                                ConfigReader.read(
                                                        Map.of("LB_CONFIG", file.toString())));
                                service.start();
                                return service;
                            }));
        }
        try {
            for (Future<Service> one : starting) {
                services.add(one.get());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RehearsalException("the run was interrupted");
        } catch (java.util.concurrent.ExecutionException e) {
            throw new RehearsalException(
                    "a hollow dispatcher did not start: "
                            + (e.getCause() instanceof ConfigException
                                    ? e.getCause().getMessage()
                                    : e.getCause()));
        }
    }

    @Override
    public void close() {
        List<Future<?>> ends = new ArrayList<>();
        ExecutorService all = Executors.newCachedThreadPool();
        for (Service service : services) {
            ends.add(
                    all.submit(
                            () -> {
                                service.drain();
                                return null;
                            }));
        }
        for (Future<?> end : ends) {
            try {
                end.get();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException("a hollow dispatcher did not end", e.getCause());
            }
        }
        all.shutdown();
        starts.shutdown();
    }
}
