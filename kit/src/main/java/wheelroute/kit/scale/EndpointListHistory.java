package wheelroute.kit.scale;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.IntFunction;
import wheelroute.kit.process.DiscoveryJson;

/**
 * The versions of the stub discovery's endpoint list, in discovery's JSON format. Each change lets
 * some workers, selected round-robin, start or stop draining. Not thread-safe.
 */
final class EndpointListHistory {
    private static final int ZONES = 13;
    private static final int MODELS = 3;
    private static final int CELLS = 40;

    private final IntFunction<InetSocketAddress> addresses;
    private final int workerCount;
    private final boolean[] isDraining;

    /** Workers that changed in each version; the index is the version, and version 0 is unused. */
    private final List<int[]> changedWorkers = new ArrayList<>();

    /** Times in seconds at which the versions were created; the index is the version. */
    private final List<Double> changedAt = new ArrayList<>();

    /** Complete list of the newest version; null until it is requested. */
    private byte[] completeJson;

    private int nextWorker;

    /**
     * Creates version 1 of the list, in which all workers are ready.
     *
     * @param addresses addresses of the workers, by worker number
     * @param now time in seconds, on the clock that is also used for changes
     */
    EndpointListHistory(int workerCount, IntFunction<InetSocketAddress> addresses, double now) {
        this.workerCount = workerCount;
        this.addresses = addresses;
        isDraining = new boolean[workerCount];
        changedWorkers.add(new int[0]);
        changedAt.add(0.0);
        change(0, now);
    }

    /** Creates a new version in which the given number of workers have changed. */
    void change(int count, double now) {
        int[] changed = new int[count];
        for (int i = 0; i < count; i++) {
            changed[i] = nextWorker;
            isDraining[nextWorker] = !isDraining[nextWorker];
            nextWorker = (nextWorker + 1) % workerCount;
        }
        changedWorkers.add(changed);
        changedAt.add(now);
        completeJson = null;
    }

    /** Returns the newest version. */
    int version() {
        return changedWorkers.size() - 1;
    }

    /** Returns the time at which a version was created, as passed by the caller. */
    double changedAt(int version) {
        return changedAt.get(version);
    }

    /** Returns the complete list in its newest version. */
    byte[] completeJson() {
        if (completeJson == null) {
            List<Integer> all = new ArrayList<>();
            for (int i = 0; i < workerCount; i++) {
                all.add(i);
            }
            completeJson = json(true, all);
        }
        return completeJson;
    }

    /** Returns the workers that changed after the given version, in their newest state. */
    byte[] changesJson(long sinceVersion) {
        TreeSet<Integer> changed = new TreeSet<>();
        for (int version = (int) sinceVersion + 1; version <= version(); version++) {
            for (int worker : changedWorkers.get(version)) {
                changed.add(worker);
            }
        }
        return json(false, changed);
    }

    private byte[] json(boolean isComplete, Collection<Integer> workers) {
        List<String> entries = workers.stream().map(this::entryJson).toList();
        return DiscoveryJson.list(version(), isComplete, entries).getBytes(StandardCharsets.UTF_8);
    }

    private String entryJson(int worker) {
        return new DiscoveryJson.Endpoint(
                        String.format(Locale.ROOT, "s-%08x", worker),
                        addresses.apply(worker),
                        "z" + worker % ZONES,
                        "m" + worker % MODELS,
                        worker % CELLS,
                        isDraining[worker] ? "draining" : "ready",
                        0)
                .json();
    }
}
