package wheelroute.decision.state;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.health.OutlierEjection;

/** Exports the learned state of a process and imports it into the process that replaces it. */
public final class LearnedStateTransfer {
    private final DecisionClock clock;
    private final WorkerTable workers;
    private final Map<Ids.RequestClass, RequestClassState> requestClasses;
    private final OutlierEjection ejection;
    private final boolean reportsStart;

    /**
     * Creates the transfer for one dispatcher.
     *
     * @param reportsStart whether workers report the start of a job; if so, each model has waits of
     *     its own
     */
    public LearnedStateTransfer(
            DecisionClock clock,
            WorkerTable workers,
            Map<Ids.RequestClass, RequestClassState> requestClasses,
            OutlierEjection ejection,
            boolean reportsStart) {
        this.clock = clock;
        this.workers = workers;
        this.requestClasses = requestClasses;
        this.ejection = ejection;
        this.reportsStart = reportsStart;
    }

    /** Returns a copy of the learned state, for a successor process. */
    public LearnedState exportState() {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        double now = clock.now();
        for (WorkerState worker : workers.all()) {
            learned.workers().put(worker.id(), worker.statistics().export(now));
        }
        workers.models().forEach((id, model) -> learned.models().put(id, model.export(now)));
        requestClasses.forEach(
                (id, requestClass) ->
                        learned.estimates().put(id, requestClass.estimates().export()));
        return learned;
    }

    /**
     * Imports the learned state of a predecessor process. Workers, models and request classes that
     * are unknown to this process are skipped.
     */
    public void importState(LearnedState learned) {
        learned.workers().forEach(this::importWorker);
        learned.models().forEach(this::importModel);
        learned.estimates().forEach(this::importEstimates);
    }

    private void importWorker(Ids.Worker id, LearnedState.WorkerSamples samples) {
        WorkerState worker = workers.byId().get(id);
        if (worker != null) {
            worker.statistics().restore(clock.now(), samples);
            ejection.restore(worker);
        }
    }

    private void importModel(Ids.Model id, LearnedState.ModelSamples samples) {
        ModelStatistics model = workers.models().get(id);
        if (model != null) {
            model.restore(clock.now(), samples, reportsStart);
        }
    }

    private void importEstimates(Ids.RequestClass id, double[] samples) {
        RequestClassState requestClass = requestClasses.get(id);
        if (requestClass != null) {
            requestClass.estimates().restore(samples);
        }
    }
}
