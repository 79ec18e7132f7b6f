package wheelroute.decision.endpoints;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.RandomDraws;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/** Updates the state of the workers from the endpoint list and its changes. */
public final class EndpointUpdates {
    private final DecisionClock clock;
    private final Ids.Zone zone;
    private final WorkerTable workers;
    private final KeyAffinity<WorkerState> affinity;
    private final RandomDraws random;
    private final OutlierEjection ejection;

    /**
     * Creates the handler of endpoint list changes for one dispatcher.
     *
     * @param zone the zone of the dispatcher
     */
    public EndpointUpdates(
            DecisionClock clock,
            Ids.Zone zone,
            WorkerTable workers,
            KeyAffinity<WorkerState> affinity,
            RandomDraws random,
            OutlierEjection ejection) {
        this.clock = clock;
        this.zone = zone;
        this.workers = workers;
        this.affinity = affinity;
        this.random = random;
        this.ejection = ejection;
    }

    /**
     * Applies a change of the list.
     *
     * @param complete whether the endpoints are the whole list, so that workers missing from it are
     *     removed
     * @return the workers whose attempts in flight are or may be lost, because the worker was
     *     removed or has restarted
     */
    public List<WorkerState> apply(List<Endpoint> endpoints, boolean complete) {
        if (complete) {
            workers.all().forEach(WorkerState::clearListed);
        }
        List<WorkerState> lost = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            WorkerState worker = workers.getOrCreate(endpoint.worker());
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
            recordReadiness(worker);
        }
        affinity.setFleet(workers.ready());
        return lost;
    }

    private void recordReadiness(WorkerState worker) {
        if (worker.isReady()) {
            workers.ready().add(worker);
        }
        boolean warm = worker.isReady() && worker.estimates().rampFraction(clock.now()) >= 1;
        worker.setWarm(warm);
        if (warm) {
            worker.model().countWarmWorker();
        }
    }

    /**
     * Updates a worker from its endpoint. Returns whether the attempts in flight there are lost,
     * because the worker was removed or has restarted.
     */
    private boolean update(WorkerState worker, Endpoint endpoint) {
        Endpoint previous = worker.endpoint();
        boolean restarted =
                previous != null
                        && endpoint.startedAt() > 0
                        && !(endpoint.startedAt() <= previous.startedAt());
        boolean inSameZone = endpoint.zone().equals(zone);
        worker.markListed(endpoint, workers.model(endpoint.model()), inSameZone);
        // The draw depends on the cell as well as on the start, so that workers that start at the
        // same time get different turns.
        double draw =
                random.draw(
                        Math.round(endpoint.startedAt() * MILLIS_PER_SECOND),
                        endpoint.cell().value());
        worker.slowStartBudget().onWorkerStarted(endpoint.startedAt(), draw);
        boolean removed = endpoint.state() == Endpoint.State.REMOVED;
        if (removed) {
            ejection.onRemoved(worker);
        } else {
            worker.setReady(endpoint.state() == Endpoint.State.READY);
            worker.setRetainedAfterRemoval(false);
        }
        if (restarted) {
            // The new process is judged neither by the speed nor by the faults of the old one.
            worker.statistics().clear();
            worker.health().recordRestart();
        }
        return restarted || removed;
    }
}
