package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The endpoint list of discovery, in which each update of a worker takes effect after a lag. */
public final class EndpointRegistry {
    /** The interval at which a draining worker checks whether all its attempts have ended. */
    static final double POLL_INTERVAL_SECONDS = 0.1;

    /** A worker's state in the endpoint list. */
    public enum State {
        READY,
        DRAINING,
        REMOVED
    }

    /**
     * A worker's entry in the endpoint list.
     *
     * @param startedAt when the worker's process started; NaN if it started long before the run
     * @param version the number of changes of the list up to this entry; 0 for the initial entry
     */
    public record Entry(WorkerModel worker, State state, double startedAt, long version) {}

    private final Timeline timeline;
    private final double lagSeconds;
    private final Map<Integer, Entry> entries = new LinkedHashMap<>();
    private final List<Consumer<Entry>> watchers = new ArrayList<>();
    private final List<Runnable> outageListeners = new ArrayList<>();

    /** The number of the last update in effect, by worker number. */
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
        // Updates may overtake each other when the lag changes; an outdated one is ignored.
        if (update > appliedUpdates.getOrDefault(worker.number, 0L)) {
            appliedUpdates.put(worker.number, update);
            Entry entry = new Entry(worker, state, startedAt, ++version);
            entries.put(worker.number, entry);
            new ArrayList<>(watchers).forEach(watcher -> watcher.accept(entry));
        }
    }

    /** Adds a watcher of all later changes; {@link #entries} has the state before them. */
    public void watch(Consumer<Entry> watcher) {
        watchers.add(watcher);
    }

    /** Removes a watcher; no effect for one that was not added. */
    public void unwatch(Consumer<Entry> watcher) {
        watchers.remove(watcher);
    }

    /** Adds a task that runs whenever an outage of discovery begins. */
    public void onOutage(Runnable task) {
        outageListeners.add(task);
    }

    /** Returns a copy of the current entries. */
    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Returns the number of changes that have taken effect since the start of the run. */
    public long version() {
        return version;
    }

    /** Returns whether at least one outage of discovery is active. */
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
