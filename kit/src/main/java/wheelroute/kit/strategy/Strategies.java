package wheelroute.kit.strategy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Everyone who can decide, by name. */
public final class Strategies {
    /** The daemon's module: what all others are compared with. */
    public static final String POLICY = "module";

    /** Sees the true state of all workers, which no dispatcher can. */
    public static final String OMNISCIENT = "seeing";

    /** A late answer that earns less than this is not worth the time it takes from others. */
    private static final double MIN_LATE_VALUE = 0.5;

    private static final Map<String, Function<ClusterModel, Strategy.Factory>> ALL =
            new TreeMap<>(
                    Map.of(
                            POLICY,
                            cluster -> PolicyStrategy::new,
                            "random",
                            cluster ->
                                    baseline(
                                            (open, request, out, random) -> {
                                                // By speed, as the paper's basic policy: in
                                                // proportion to what each can do.
                                                double draw =
                                                        random.nextDouble()
                                                                * open.stream()
                                                                        .mapToDouble(
                                                                                w ->
                                                                                        capacity(
                                                                                                cluster,
                                                                                                w))
                                                                        .sum();
                                                for (Endpoint worker : open) {
                                                    draw -= capacity(cluster, worker);
                                                    if (draw < 0) {
                                                        return worker.worker();
                                                    }
                                                }
                                                return open.get(open.size() - 1).worker();
                                            }),
                            "round-robin",
                            cluster ->
                                    (settings, dispatcher) -> {
                                        int[] next = {0};
                                        return new BaselineStrategy(
                                                settings,
                                                dispatcher,
                                                (open, request, out, random) ->
                                                        open.get(next[0]++ % open.size()).worker());
                                    },
                            "least-outstanding",
                            cluster ->
                                    baseline(
                                            (open, request, out, random) -> {
                                                // From a place drawn by chance: ties must not all
                                                // go to the first.
                                                int from = random.nextInt(open.size());
                                                return leastBy(
                                                        open,
                                                        from,
                                                        w -> out.getOrDefault(w.worker(), 0));
                                            }),
                            "two-choices",
                            cluster ->
                                    baseline(
                                            (open, request, out, random) -> {
                                                Ids.Worker one =
                                                        open.get(random.nextInt(open.size()))
                                                                .worker();
                                                Ids.Worker other =
                                                        open.get(random.nextInt(open.size()))
                                                                .worker();
                                                return out.getOrDefault(one, 0)
                                                                <= out.getOrDefault(other, 0)
                                                        ? one
                                                        : other;
                                            }),
                            OMNISCIENT,
                            cluster ->
                                    baseline(
                                            (open, request, out, random) ->
                                                    seen(
                                                            cluster,
                                                            open,
                                                            request,
                                                            random.nextInt(open.size())))));

    private Strategies() {}

    /** The names of all strategies. */
    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    /** The strategy of this name. */
    public static Strategy.Factory factory(String name, ClusterModel cluster) {
        return ALL.get(name).apply(cluster);
    }

    /**
     * The earliest end, with what an error would cost in time; none where even that comes after the
     * deadline, or too late to earn anything.
     */
    private static Ids.Worker seen(
            ClusterModel cluster, List<Endpoint> open, Request request, int from) {
        double work = Double.isNaN(request.estimatedWork()) ? 0 : request.estimatedWork();
        Scenario.RequestClass requestClass =
                cluster.scenario.requestClasses().stream()
                        .filter(o -> o.name().equals(request.requestClass().name()))
                        .findFirst()
                        .orElseThrow();
        ToDoubleFunction<Endpoint> end =
                w ->
                        model(cluster, w).workDoneBy(work)
                                + model(cluster, w).failureRate()
                                        * requestClass.latencyObjectiveSeconds();
        Ids.Worker best = leastBy(open, from, end);
        double done = cluster.workers.get((int) best.value()).workDoneBy(work);
        double quotedAt =
                request.deadline()
                        - requestClass.deadline()
                        + requestClass.latencyObjectiveSeconds()
                        + requestClass.objectivePerWork() * work;
        return done > request.deadline()
                        || (requestClass.lateValue() < MIN_LATE_VALUE && done > quotedAt)
                ? null
                : best;
    }

    private static Strategy.Factory baseline(BaselineStrategy.WorkerSelector choice) {
        return (settings, dispatcher) -> new BaselineStrategy(settings, dispatcher, choice);
    }

    private static WorkerModel model(ClusterModel cluster, Endpoint listing) {
        return cluster.workers.get((int) listing.worker().value());
    }

    private static double capacity(ClusterModel cluster, Endpoint listing) {
        WorkerModel model = model(cluster, listing);
        return model.group.speed() * model.group.slots();
    }

    private static Ids.Worker leastBy(
            List<Endpoint> open, int from, ToDoubleFunction<Endpoint> figure) {
        Endpoint best = null;
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < open.size(); i++) {
            Endpoint worker = open.get((from + i) % open.size());
            double value = figure.applyAsDouble(worker);
            if (best == null || value < least) {
                best = worker;
                least = value;
            }
        }
        return best.worker();
    }
}
