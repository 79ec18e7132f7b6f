package wheelroute.decision.routing;

import java.util.List;
import java.util.function.Predicate;
import wheelroute.decision.estimates.FleetEstimates;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.slowstart.SlowStart;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Chooses the worker of least admittance cost among those that may get a request. */
public final class WorkerSelector {
    /** Costs this close to the cheapest are a tie: estimates are too rough to tell them apart. */
    private static final double TIE_BAND = 0.10;

    /** A worker with this many times the mean of attempts a slot, and a few more, is overfull. */
    private static final double OVERFULL_FACTOR = 2;

    private static final double OVERFULL_SPARE = 1;

    /** Who may be chosen: the next tier comes in only where the one before has nobody. */
    private enum Tier {
        USUAL,
        OVERFULL,
        EJECTED
    }

    private static final Tier[] TIERS = Tier.values();

    private final DispatcherState state;
    private final RetryRules retryRules;
    private final OutlierEjection ejection;
    private final SlowStart slowStart;
    private final AdmittanceCost cost;
    private final FleetEstimates fleet;

    /** Creates the selector over the state of one dispatcher. */
    public WorkerSelector(DispatcherState state, RetryRules retryRules, OutlierEjection ejection) {
        this.state = state;
        this.retryRules = retryRules;
        this.ejection = ejection;
        slowStart = new SlowStart(state);
        fleet = new FleetEstimates(state);
        cost = new AdmittanceCost(state, ejection);
    }

    /** The cheapest worker, ties by chance; null where none may get the request. */
    WorkerState cheapest(TrackedRequest request) {
        prepare(request);
        double least = Double.POSITIVE_INFINITY;
        for (Tier tier : TIERS) {
            if (least == Double.POSITIVE_INFINITY) {
                least = leastCost(request, worker -> isOpen(request, worker, tier));
            }
        }
        return choose(least);
    }

    /** The cheapest of those that pass a test, among which may be ejected ones that serve some. */
    public WorkerState cheapestAmong(TrackedRequest request, Predicate<WorkerState> test) {
        prepare(request);
        return choose(
                leastCost(
                        request,
                        worker -> isOpenAsSecondChoice(request, worker) && test.test(worker)));
    }

    private double leastCost(TrackedRequest request, Predicate<WorkerState> open) {
        double least = Double.POSITIVE_INFINITY;
        for (WorkerState worker : state.workers().ready()) {
            worker.setCost(open.test(worker) ? cost.of(request, worker) : Double.POSITIVE_INFINITY);
            least = Math.min(least, worker.cost());
        }
        return least;
    }

    private boolean isOpen(TrackedRequest request, WorkerState worker, Tier tier) {
        return mayGet(request, worker)
                && (tier != Tier.USUAL || !isOverfull(worker))
                && (tier == Tier.EJECTED || ejection.admits(worker, request));
    }

    private boolean isOpenAsSecondChoice(TrackedRequest request, WorkerState worker) {
        return mayGet(request, worker)
                && !isOverfull(worker)
                && (ejection.admits(worker, request) || ejection.servesSome(worker, request));
    }

    private boolean mayGet(TrackedRequest request, WorkerState worker) {
        return retryRules.mayGoTo(request, worker)
                && slowStart.admits(worker, request)
                && !worker.health().isBackingOff(state.now());
    }

    private boolean isOverfull(WorkerState worker) {
        double usual = OVERFULL_FACTOR * fleet.attemptsPerSlot() + OVERFULL_SPARE;
        return worker.inFlight().size() > worker.estimates().slots() * usual;
    }

    private void prepare(TrackedRequest request) {
        fleet.refresh(request);
        cost.prepare(fleet.capacity());
    }

    private WorkerState choose(double least) {
        return least == Double.POSITIVE_INFINITY ? null : drawAmong(least * (1 + TIE_BAND));
    }

    private WorkerState drawAmong(double maxCost) {
        List<WorkerState> ready = state.workers().ready();
        int tied = 0;
        for (WorkerState worker : ready) {
            tied += worker.cost() <= maxCost ? 1 : 0;
        }
        int pick = tied > 1 ? (int) (state.random().next() * tied) : 0;
        for (WorkerState worker : ready) {
            if (worker.cost() <= maxCost && pick-- == 0) {
                return worker;
            }
        }
        return null;
    }
}
