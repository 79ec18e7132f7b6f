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
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.slowstart.SlowStartBudget;

/**
 * The workers that are on the endpoint list or still have attempts in flight, and the statistics of
 * their models.
 */
public final class WorkerTable {
    private static final int SAMPLE_COUNT = 64;

    /**
     * Number of prior samples of zero wait where workers report their waits. The number is low so
     * that a model with little traffic is judged by its own waits.
     */
    private static final double REPORTED_WAIT_PRIOR_SAMPLES = 1;

    /**
     * Number of prior samples of zero wait where waits are estimated from results, which makes them
     * as noisy as the sizes of the jobs.
     */
    private static final double ESTIMATED_WAIT_PRIOR_SAMPLES = 4;

    private final Settings settings;
    private final TrafficStatistics traffic;
    private final SlowStartBudget.Limits slowStartLimits;

    /** Sorted by id in ascending order. */
    private final Map<Ids.Worker, WorkerState> byId =
            new TreeMap<>(Comparator.comparingLong(Ids.Worker::value));

    private final Map<Ids.Model, ModelStatistics> models = new HashMap<>();
    private final List<WorkerState> ready = new ArrayList<>();
    private final List<WorkerState> busy = new ArrayList<>();

    /**
     * Waits of all models together, for workers that do not report starts. Their waits are
     * estimated from results, and estimates per model would reflect the speeds of the models.
     */
    private final SampleWindow estimatedWaits = new SampleWindow(SAMPLE_COUNT);

    private int attemptsInFlight;

    WorkerTable(Settings settings, TrafficStatistics traffic) {
        this.settings = settings;
        this.traffic = traffic;
        slowStartLimits =
                new SlowStartBudget.Limits(
                        Math.max(1, settings.dispatchers()),
                        settings.position(),
                        settings.overloadMultiple(),
                        settings.overloadWindowSeconds());
    }

    /** Returns the worker with this id, after creating it if it was unknown. */
    public WorkerState getOrCreate(Ids.Worker id) {
        return byId.computeIfAbsent(
                id, key -> new WorkerState(key, settings, traffic, slowStartLimits));
    }

    /** Returns the live map of all workers, in ascending order of their ids. */
    public Map<Ids.Worker, WorkerState> byId() {
        return byId;
    }

    /** Returns a live view of all workers, in ascending order of their ids. */
    public Collection<WorkerState> all() {
        return byId.values();
    }

    /**
     * Returns the live list of the workers to which requests may be sent, in ascending order of
     * their ids.
     */
    public List<WorkerState> ready() {
        return ready;
    }

    /** Returns the live list of the workers with attempts in flight. */
    public List<WorkerState> busy() {
        return busy;
    }

    /** Returns the live map of the statistics of all models. */
    public Map<Ids.Model, ModelStatistics> models() {
        return models;
    }

    /** Returns the statistics of a model, after creating them if the model was unknown. */
    public ModelStatistics model(Ids.Model id) {
        return models.computeIfAbsent(id, key -> newModel());
    }

    private ModelStatistics newModel() {
        boolean reportsWaits = settings.reportsStart();
        return new ModelStatistics(
                new SampleWindow(SAMPLE_COUNT),
                reportsWaits ? new SampleWindow(SAMPLE_COUNT) : estimatedWaits,
                reportsWaits ? REPORTED_WAIT_PRIOR_SAMPLES : ESTIMATED_WAIT_PRIOR_SAMPLES);
    }

    /** Removes the workers that are not ready and have no attempt in flight. */
    public void forgetRemoved() {
        byId.values().removeIf(worker -> !worker.isReady() && worker.inFlight().isEmpty());
    }

    /** Adds an attempt that was sent; returns whether the worker has no other one in flight. */
    public boolean add(Attempt attempt) {
        WorkerState worker = attempt.worker();
        attemptsInFlight++;
        worker.inFlight().add(attempt);
        boolean first = worker.inFlight().size() == 1;
        if (first) {
            busy.add(worker);
        }
        return first;
    }

    /** Removes an attempt that has ended from the attempts in flight. */
    public void remove(Attempt attempt) {
        WorkerState worker = attempt.worker();
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

    /** Returns the number of listed workers that are draining, backing off or ejected. */
    public int avoidedCount(double now) {
        return (int) all().stream().filter(worker -> isAvoided(worker, now)).count();
    }

    private static boolean isAvoided(WorkerState worker, double now) {
        return worker.isListed()
                && (!worker.isReady()
                        || worker.health().isEjected()
                        || worker.health().isBackingOff(now));
    }
}
