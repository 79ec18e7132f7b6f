package wheelroute.decision.state;

import java.util.HashMap;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.health.OutlierEjection;

/** Exports what one process has learned and imports it into the process that replaces it. */
public final class LearnedStateTransfer {
    private final DispatcherState state;
    private final OutlierEjection ejection;

    /** Creates the transfer for one dispatcher. */
    public LearnedStateTransfer(DispatcherState state, OutlierEjection ejection) {
        this.state = state;
        this.ejection = ejection;
    }

    /** Returns what was learned so far, for a successor process. */
    public LearnedState exportState() {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        double now = state.now();
        for (WorkerState worker : state.workers().all()) {
            learned.workers().put(worker.id(), worker.statistics().export(now));
        }
        state.workers()
                .models()
                .forEach((id, model) -> learned.models().put(id, model.export(now)));
        state.requestClasses()
                .forEach(
                        (id, requestClass) ->
                                learned.estimates().put(id, requestClass.estimates().export()));
        return learned;
    }

    /** Skips workers, models and request classes that are unknown here. */
    public void importState(LearnedState learned) {
        learned.workers().forEach(this::importWorker);
        learned.models().forEach(this::importModel);
        learned.estimates().forEach(this::importEstimates);
    }

    private void importWorker(Ids.Worker id, LearnedState.WorkerSamples samples) {
        WorkerState worker = state.workers().byId().get(id);
        if (worker != null) {
            worker.statistics().restore(state.now(), samples);
            worker.health().setEjected(ejection.failsOften(worker));
        }
    }

    private void importModel(Ids.Model id, LearnedState.ModelSamples samples) {
        ModelStatistics model = state.workers().models().get(id);
        if (model != null) {
            model.restore(state.now(), samples, state.settings().reportsStart());
        }
    }

    private void importEstimates(Ids.RequestClass id, double[] samples) {
        RequestClassState requestClass = state.requestClasses().get(id);
        if (requestClass != null) {
            requestClass.estimates().restore(samples);
        }
    }
}
