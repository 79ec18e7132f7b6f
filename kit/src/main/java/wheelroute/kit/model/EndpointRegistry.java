package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The endpoint list of discovery: each update of a worker takes effect after a lag. */
public final class EndpointRegistry {
    /** Interval in seconds of checks for a slow condition. */
    static final double POLL_INTERVAL = 0.1;

    /** A worker's state in the list. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** A worker's entry; startedAt is NaN for a start long ago. */
    public record Entry(WorkerModel worker, State state, double startedAt, long version) {}

    private final Timeline timeline;
    private final double lag;
    private final Map<Integer, Entry> entries = new LinkedHashMap<>();
    private final List<Consumer<Entry>> watchers = new ArrayList<>();
    private final List<Runnable> outages = new ArrayList<>();

    /** By worker: the number of the last update in effect. */
    private final Map<Integer, Long> appliedUpdates = new HashMap<>();

    private long updateCount;
    private long version;
    private double extraLag;
    private int activeOutages;

    EndpointRegistry(Timeline timeline, double lag) {
        this.timeline = timeline;
        this.lag = lag;
    }

    void add(WorkerModel worker) {
        entries.put(worker.number, new Entry(worker, State.READY, Double.NaN, 0));
    }

    void update(WorkerModel worker, State state, double startedAt) {
        long word = ++updateCount;
        timeline.schedule(
                lag + extraLag,
                () -> {
                    // As the lag changes, updates may overtake each other: only the newest counts.
                    if (word > appliedUpdates.getOrDefault(worker.number, 0L)) {
                        appliedUpdates.put(worker.number, word);
                        Entry entry = new Entry(worker, state, startedAt, ++version);
                        entries.put(worker.number, entry);
                        new ArrayList<>(watchers).forEach(watcher -> watcher.accept(entry));
                    }
                });
    }

    /** Adds a watcher of all changes from now on; the state before is in {@link #entries}. */
    public void watch(Consumer<Entry> watcher) {
        watchers.add(watcher);
    }

    /** Removes a watcher. */
    public void unwatch(Consumer<Entry> watcher) {
        watchers.remove(watcher);
    }

    /** Adds a task that runs whenever discovery goes down. */
    public void onOutage(Runnable task) {
        outages.add(task);
    }

    /** The current entries; a copy. */
    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** The number of changes so far. */
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
            new ArrayList<>(outages).forEach(Runnable::run);
        }
    }

    void addLag(double by) {
        extraLag += by;
    }
}
