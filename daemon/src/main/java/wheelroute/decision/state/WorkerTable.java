package wheelroute.decision.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.estimates.SampleWindow;
import wheelroute.decision.estimates.WorkerEstimates;

/** All workers that are listed or still hold attempts, and what is measured of their models. */
public final class WorkerTable {
    private static final int SAMPLE_COUNT = 64;

    /** A model's own waits are believed from the first few: one attempt a second brings no more. */
    private static final double MODEL_WAIT_PRIOR = 1;

    private final Settings settings;

    /** In the order of their ids. */
    private final Map<Ids.Worker, WorkerState> byId =
            new TreeMap<>(Comparator.comparingLong(Ids.Worker::value));

    private final Map<Ids.Model, ModelStatistics> models = new HashMap<>();
    private final List<WorkerState> ready = new ArrayList<>();
    private final List<WorkerState> busy = new ArrayList<>();

    /**
     * Shared by all models where starts are not told: waits guessed from results show their speeds.
     */
    private final SampleWindow guessedWaits = new SampleWindow(SAMPLE_COUNT);

    private int attemptsInFlight;
    private double meanSlotSpeed = 1;

    WorkerTable(Settings settings) {
        this.settings = settings;
    }

    /** Returns all workers by id. */
    public Map<Ids.Worker, WorkerState> byId() {
        return byId;
    }

    /** Returns all workers, in the order of their ids. */
    public Collection<WorkerState> all() {
        return byId.values();
    }

    /** Those to which requests may be sent, in the order of their ids. */
    public List<WorkerState> ready() {
        return ready;
    }

    /** Those with attempts in flight. */
    public List<WorkerState> busy() {
        return busy;
    }

    /** Returns the statistics of all models. */
    public Map<Ids.Model, ModelStatistics> models() {
        return models;
    }

    /** The statistics of a model, new ones if it was unknown. */
    public ModelStatistics model(Ids.Model id) {
        return models.computeIfAbsent(id, key -> newModel());
    }

    private ModelStatistics newModel() {
        boolean ownWaits = settings.reportsStart();
        return new ModelStatistics(
                new SampleWindow(SAMPLE_COUNT),
                ownWaits ? new SampleWindow(SAMPLE_COUNT) : guessedWaits,
                ownWaits ? MODEL_WAIT_PRIOR : WorkerEstimates.WAIT_PRIOR);
    }

    /** Forgets workers that are not ready and hold no attempt. */
    public void forgetRemoved() {
        byId.values().removeIf(worker -> !worker.isReady() && worker.inFlight().isEmpty());
    }

    /** Returns whether this is the worker's only attempt in flight. */
    public boolean add(Attempt attempt) {
        WorkerState worker = attempt.worker;
        attemptsInFlight++;
        worker.inFlight().add(attempt);
        boolean first = worker.inFlight().size() == 1;
        if (first) {
            busy.add(worker);
        }
        return first;
    }

    /** Removes an attempt that has ended. */
    public void remove(Attempt attempt) {
        WorkerState worker = attempt.worker;
        attemptsInFlight--;
        worker.inFlight().remove(attempt);
        if (worker.inFlight().isEmpty()) {
            busy.remove(worker);
        }
    }

    /** Returns the number of attempts in flight at all workers. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /**
     * Speed of a slot over all ready workers, as of the last choice: for what has no worker yet.
     */
    public double meanSlotSpeed() {
        return meanSlotSpeed;
    }

    /** Sets the mean speed of a slot, as of the present choice. */
    public void setMeanSlotSpeed(double speed) {
        meanSlotSpeed = speed;
    }
}
