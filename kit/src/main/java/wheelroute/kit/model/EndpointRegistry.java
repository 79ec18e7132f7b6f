package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The list of workers, later than the truth: what is told to it counts only after the lag. */
public final class EndpointRegistry {
    /** How often something slow is looked at again. */
    static final double POLL_INTERVAL = 0.1;

    /** A worker's state in the list's eyes. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One line of the list; startedAt is NaN for long ago. */
    public record Entry(WorkerModel worker, State state, double startedAt, long version) {}

    private final Timeline timeline;
    private final double lag;
    private final Map<Integer, Entry> entries = new LinkedHashMap<>();
    private final List<Consumer<Entry>> watchers = new ArrayList<>();
    private final List<Runnable> outages = new ArrayList<>();

    /** The number of the last word on each worker that has reached the list. */
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
                    // One that is overtaken by a later word, as the lag changes, must not bring the
                    // past back.
                    if (word > appliedUpdates.getOrDefault(worker.number, 0L)) {
                        appliedUpdates.put(worker.number, word);
                        Entry entry = new Entry(worker, state, startedAt, ++version);
                        entries.put(worker.number, entry);
                        new ArrayList<>(watchers).forEach(watcher -> watcher.accept(entry));
                    }
                });
    }

    /** Every change from now on; what was is in {@link #entries}. */
    public void watch(Consumer<Entry> watcher) {
        watchers.add(watcher);
    }

    public void unwatch(Consumer<Entry> watcher) {
        watchers.remove(watcher);
    }

    /** Called whenever it goes down. */
    public void onOutage(Runnable task) {
        outages.add(task);
    }

    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    public long version() {
        return version;
    }

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
