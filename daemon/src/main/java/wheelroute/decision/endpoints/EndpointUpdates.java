package wheelroute.decision.endpoints;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/** Brings the state of workers in line with the endpoint list and its changes. */
public final class EndpointUpdates {
    private static final double MILLIS = 1000;

    private final DispatcherState state;
    private final OutlierEjection ejection;

    /** Creates the handler of endpoint list changes for one dispatcher. */
    public EndpointUpdates(DispatcherState state, OutlierEjection ejection) {
        this.state = state;
        this.ejection = ejection;
    }

    /**
     * Returns the workers whose attempts in flight are lost: they were removed, or started anew.
     */
    public List<WorkerState> apply(List<Endpoint> endpoints, boolean complete) {
        WorkerTable workers = state.workers();
        if (complete) {
            workers.all().forEach(WorkerState::clearListed);
        }
        List<WorkerState> lost = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            WorkerState worker = workers.byId().computeIfAbsent(endpoint.worker(), this::newWorker);
            if (update(worker, endpoint)) {
                lost.add(worker);
            }
        }
        workers.ready().clear();
        workers.models().values().forEach(ModelStatistics::clearWarmWorkers);
        for (WorkerState worker : workers.all()) {
            if (complete && !worker.isListed()) {
                ejection.onRemoved(worker);
                lost.add(worker);
            }
            countReady(worker);
        }
        state.affinity().setFleet(workers.ready());
        return lost;
    }

    private WorkerState newWorker(Ids.Worker id) {
        return new WorkerState(id, state, OutlierEjection.FIRST_TRIAL_DELAY);
    }

    private void countReady(WorkerState worker) {
        if (worker.isReady()) {
            state.workers().ready().add(worker);
        }
        boolean warm = worker.isReady() && worker.estimates().warmth(state.now()) >= 1;
        worker.setWarm(warm);
        if (warm) {
            worker.model().countWarmWorker();
        }
    }

    /** Returns whether attempts in flight there are lost: it was removed, or is a new process. */
    private boolean update(WorkerState worker, Endpoint endpoint) {
        Endpoint before = worker.endpoint();
        boolean restarted =
                before != null
                        && endpoint.startedAt() > 0
                        && !(endpoint.startedAt() <= before.startedAt());
        boolean inSameZone = endpoint.zone().equals(state.settings().zone());
        worker.list(endpoint, state.workers().model(endpoint.model()), inSameZone);
        // By start and cell, so that turns differ for workers that start in the same moment.
        double draw =
                state.random()
                        .draw(Math.round(endpoint.startedAt() * MILLIS), endpoint.cell().value());
        worker.slowStartBudget().onWorkerStarted(endpoint.startedAt(), draw);
        boolean removed = endpoint.state() == Endpoint.State.REMOVED;
        if (removed) {
            ejection.onRemoved(worker);
        } else {
            worker.setReady(endpoint.state() == Endpoint.State.READY);
            worker.setUnlisted(false);
        }
        if (restarted) {
            // A new process keeps neither the speed nor the faults of the old one.
            worker.statistics().clear();
            worker.health().restarted();
        }
        return restarted || removed;
    }
}
