package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The endpoint list of discovery: each update of a worker takes effect after a lag. */
public final class EndpointRegistry {
    /** How often a draining worker checks whether it is empty. */
    static final double POLL_INTERVAL_SECONDS = 0.1;

    /** A worker's state in the list. */
    public enum State {
        READY,
        DRAINING,
        REMOVED
    }

    /** A worker's entry; startedAt is NaN for a start long ago. */
    public record Entry(WorkerModel worker, State state, double startedAt, long version) {}

    private final Timeline timeline;
    private final double lagSeconds;
    private final Map<Integer, Entry> entries = new LinkedHashMap<>();
    private final List<Consumer<Entry>> watchers = new ArrayList<>();
    private final List<Runnable> outageListeners = new ArrayList<>();

    /** By worker: the number of the last update in effect. */
    private final Map<Integer, Long> appliedUpdates = new HashMap<>();

    private long updateCount;
    private long version;
    private double extraLagSeconds;
    private int activeOutages;

    EndpointRegistry(Timeline timeline, double lagSeconds) {
        this.timeline = timeline;
        this.lagSeconds = lagSeconds;
    }

    void add(WorkerModel worker) {
        entries.put(worker.number, new Entry(worker, State.READY, Double.NaN, 0));
    }

    void update(WorkerModel worker, State state, double startedAt) {
        long update = ++updateCount;
        timeline.schedule(
                lagSeconds + extraLagSeconds, () -> apply(update, worker, state, startedAt));
    }

    private void apply(long update, WorkerModel worker, State state, double startedAt) {
        // The lag changes, so updates may overtake each other: only a newer one is applied.
        if (update > appliedUpdates.getOrDefault(worker.number, 0L)) {
            appliedUpdates.put(worker.number, update);
            Entry entry = new Entry(worker, state, startedAt, ++version);
            entries.put(worker.number, entry);
            new ArrayList<>(watchers).forEach(watcher -> watcher.accept(entry));
        }
    }

    /** Adds a watcher of all changes from now on; {@link #entries} has the state before them. */
    public void watch(Consumer<Entry> watcher) {
        watchers.add(watcher);
    }

    /** Removes a watcher. */
    public void unwatch(Consumer<Entry> watcher) {
        watchers.remove(watcher);
    }

    /** Adds a task that runs whenever discovery goes down. */
    public void onOutage(Runnable task) {
        outageListeners.add(task);
    }

    /** Returns a copy of the current entries. */
    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Returns the number of changes so far. */
    public long version() {
        return version;
    }

    /** Whether discovery is down. */
    public boolean isDown() {
        return activeOutages > 0;
    }

    void setDown(boolean begins) {
        activeOutages += begins ? 1 : -1;
        if (begins) {
            new ArrayList<>(outageListeners).forEach(Runnable::run);
        }
    }

    void addLag(double changeSeconds) {
        extraLagSeconds += changeSeconds;
    }
}
