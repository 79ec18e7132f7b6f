package wheelroute.kit.strategy;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.WorkerModel;

/** Textbook rules for the choice of a worker. */
final class WorkerSelectors {
    private WorkerSelectors() {}

    /** Returns a selector that chooses at random, weighted by the workers' capacity. */
    static WorkerSelector random(ClusterModel cluster) {
        return (candidates, request, inFlight, random) -> {
            double total = candidates.stream().mapToDouble(each -> capacity(cluster, each)).sum();
            double draw = random.nextDouble() * total;
            for (Endpoint candidate : candidates) {
                draw -= capacity(cluster, candidate);
                if (draw < 0) {
                    return candidate.worker();
                }
            }
            return candidates.get(candidates.size() - 1).worker();
        };
    }

    /** Returns a selector that chooses each candidate in turn. */
    static WorkerSelector roundRobin() {
        return new WorkerSelector() {
            private int next;

            @Override
            public Ids.Worker choose(
                    List<Endpoint> candidates,
                    Request request,
                    Map<Ids.Worker, Integer> inFlight,
                    SplittableRandom random) {
                return candidates.get(next++ % candidates.size()).worker();
            }
        };
    }

    /** Returns a selector of the worker with the dispatcher's fewest attempts in flight. */
    static WorkerSelector leastOutstanding() {
        return (candidates, request, inFlight, random) -> {
            // A random start index spreads ties, which would all go to the first candidate
            // otherwise.
            int first = random.nextInt(candidates.size());
            return minBy(
                    candidates, first, candidate -> inFlight.getOrDefault(candidate.worker(), 0));
        };
    }

    /** Returns a selector of the less loaded of two random candidates. */
    static WorkerSelector twoChoices() {
        return (candidates, request, inFlight, random) -> {
            Ids.Worker one = candidates.get(random.nextInt(candidates.size())).worker();
            Ids.Worker other = candidates.get(random.nextInt(candidates.size())).worker();
            return inFlight.getOrDefault(one, 0) <= inFlight.getOrDefault(other, 0) ? one : other;
        };
    }

    static WorkerModel model(ClusterModel cluster, Endpoint endpoint) {
        return cluster.workers.get((int) endpoint.worker().value());
    }

    private static double capacity(ClusterModel cluster, Endpoint endpoint) {
        WorkerModel worker = model(cluster, endpoint);
        return worker.group.speed() * worker.group.slots();
    }

    /** Returns the candidate with the minimum value; ties go to the first one from an index on. */
    static Ids.Worker minBy(
            List<Endpoint> candidates, int first, ToDoubleFunction<Endpoint> valueOf) {
        Endpoint best = null;
        double min = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            Endpoint candidate = candidates.get((first + i) % candidates.size());
            double value = valueOf.applyAsDouble(candidate);
            if (best == null || value < min) {
                best = candidate;
                min = value;
            }
        }
        return best.worker();
    }
}
