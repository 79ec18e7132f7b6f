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
 * The versions of a stub's endpoint list, in discovery's JSON form. Each change makes workers, the
 * next ones in turn, start or stop draining. Not thread-safe.
 */
final class EndpointListHistory {
    private static final int ZONES = 13;
    private static final int MODELS = 3;
    private static final int CELLS = 40;

    private final IntFunction<InetSocketAddress> addresses;
    private final int workerCount;
    private final boolean[] isDraining;

    /** By version, from 0 on: the workers that changed, and when. */
    private final List<int[]> changedWorkers = new ArrayList<>();

    private final List<Double> changedAt = new ArrayList<>();

    /** Of the newest version; null until it is needed. */
    private byte[] completeJson;

    private int nextWorker;

    /**
     * Creates the list in its version 1, with all workers ready.
     *
     * @param addresses of the workers, by number
     */
    EndpointListHistory(int workerCount, IntFunction<InetSocketAddress> addresses, double now) {
        this.workerCount = workerCount;
        this.addresses = addresses;
        isDraining = new boolean[workerCount];
        changedWorkers.add(new int[0]);
        changedAt.add(0.0);
        change(0, now);
    }

    /** Creates a new version, in which the given number of workers have changed. */
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

    /** Returns when a version was created. */
    double changedAt(int version) {
        return changedAt.get(version);
    }

    /** Returns the newest version with all workers. */
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

    /** Returns the newest version with the workers that changed after the given one. */
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
