package wheelroute.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All workers that are listed or still hold attempts, and what is measured of their models. */
final class WorkerTable {
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

    Map<Ids.Worker, WorkerState> byId() {
        return byId;
    }

    Collection<WorkerState> all() {
        return byId.values();
    }

    /** Those to which requests may be sent, in the order of their ids. */
    List<WorkerState> ready() {
        return ready;
    }

    /** Those with attempts in flight. */
    List<WorkerState> busy() {
        return busy;
    }

    Map<Ids.Model, ModelStatistics> models() {
        return models;
    }

    /** The statistics of a model, new ones if it was unknown. */
    ModelStatistics model(Ids.Model id) {
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
    void forgetRemoved() {
        byId.values().removeIf(worker -> !worker.isReady() && worker.inFlight().isEmpty());
    }

    /** Returns whether this is the worker's only attempt in flight. */
    boolean add(Attempt attempt) {
        WorkerState worker = attempt.worker;
        attemptsInFlight++;
        worker.inFlight().add(attempt);
        boolean first = worker.inFlight().size() == 1;
        if (first) {
            busy.add(worker);
        }
        return first;
    }

    void remove(Attempt attempt) {
        WorkerState worker = attempt.worker;
        attemptsInFlight--;
        worker.inFlight().remove(attempt);
        if (worker.inFlight().isEmpty()) {
            busy.remove(worker);
        }
    }

    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /**
     * Speed of a slot over all ready workers, as of the last choice: for what has no worker yet.
     */
    double meanSlotSpeed() {
        return meanSlotSpeed;
    }

    void setMeanSlotSpeed(double speed) {
        meanSlotSpeed = speed;
    }
}
