package wheelroute.kit.strategy;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/**
 * Chooses the worker that completes a request first, by the true state of all workers, which no
 * real dispatcher can see. Chooses none if even the first completion would be too late.
 */
final class OracleSelector implements WorkerSelector {
    /** Request classes with a lower value of late responses get no attempt that would be late. */
    private static final double MIN_LATE_VALUE = 0.5;

    private final ClusterModel cluster;

    OracleSelector(ClusterModel cluster) {
        this.cluster = cluster;
    }

    @Override
    public Ids.Worker choose(
            List<Endpoint> candidates,
            Request request,
            Map<Ids.Worker, Integer> inFlight,
            SplittableRandom random) {
        int first = random.nextInt(candidates.size());
        double work = Double.isNaN(request.estimatedWork()) ? 0 : request.estimatedWork();
        Scenario.RequestClass requestClass = requestClassOf(request);
        Ids.Worker best =
                WorkerSelectors.minBy(
                        candidates,
                        first,
                        candidate -> expectedCompletion(candidate, work, requestClass));
        double completion = cluster.workers.get((int) best.value()).expectedCompletionAt(work);
        return isTooLate(completion, request, requestClass, work) ? null : best;
    }

    private Scenario.RequestClass requestClassOf(Request request) {
        return cluster.scenario.requestClasses().stream()
                .filter(each -> each.name().equals(request.requestClass().name()))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Returns the expected completion time, plus the expected time lost to a failed attempt: the
     * latency objective times the worker's failure fraction.
     */
    private double expectedCompletion(
            Endpoint candidate, double work, Scenario.RequestClass requestClass) {
        WorkerModel worker = WorkerSelectors.model(cluster, candidate);
        return worker.expectedCompletionAt(work)
                + worker.failureFraction() * requestClass.latencyObjectiveSeconds();
    }

    private static boolean isTooLate(
            double completion, Request request, Scenario.RequestClass requestClass, double work) {
        double objectiveAt =
                request.deadline()
                        - requestClass.deadlineSeconds()
                        + requestClass.latencyObjectiveSeconds()
                        + requestClass.objectivePerWork() * work;
        return completion > request.deadline()
                || (requestClass.lateValue() < MIN_LATE_VALUE && completion > objectiveAt);
    }
}
