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
    public static final String MODULE = "module";

    /** Sees the true state of all workers, which no dispatcher can. */
    public static final String SEEING = "seeing";

    /** A late answer that earns less than this is not worth the time it takes from others. */
    private static final double WORTH_IT = 0.5;

    private static final Map<String, Function<ClusterModel, Strategy.Factory>> ALL =
            new TreeMap<>(
                    Map.of(
                            MODULE,
                            world -> PolicyStrategy::new,
                            "random",
                            world ->
                                    baseline(
                                            (open, submission, out, random) -> {
                                                // By speed, as the paper's basic policy: in
                                                // proportion to what each can do.
                                                double draw =
                                                        random.nextDouble()
                                                                * open.stream()
                                                                        .mapToDouble(
                                                                                w ->
                                                                                        capacity(
                                                                                                world,
                                                                                                w))
                                                                        .sum();
                                                for (Endpoint worker : open) {
                                                    draw -= capacity(world, worker);
                                                    if (draw < 0) {
                                                        return worker.worker();
                                                    }
                                                }
                                                return open.get(open.size() - 1).worker();
                                            }),
                            "round-robin",
                            world ->
                                    (settings, dispatcher) -> {
                                        int[] next = {0};
                                        return new BaselineStrategy(
                                                settings,
                                                dispatcher,
                                                (open, submission, out, random) ->
                                                        open.get(next[0]++ % open.size()).worker());
                                    },
                            "least-outstanding",
                            world ->
                                    baseline(
                                            (open, submission, out, random) -> {
                                                // From a place drawn by chance: ties must not all
                                                // go to the first.
                                                int from = random.nextInt(open.size());
                                                return least(
                                                        open,
                                                        from,
                                                        w -> out.getOrDefault(w.worker(), 0));
                                            }),
                            "two-choices",
                            world ->
                                    baseline(
                                            (open, submission, out, random) -> {
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
                            SEEING,
                            world ->
                                    baseline(
                                            (open, submission, out, random) ->
                                                    seen(
                                                            world,
                                                            open,
                                                            submission,
                                                            random.nextInt(open.size())))));

    private Strategies() {}

    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    public static Strategy.Factory maker(String name, ClusterModel world) {
        return ALL.get(name).apply(world);
    }

    /**
     * The earliest end, with what an error would cost in time; none where even that comes after the
     * outer limit, or too late to earn anything.
     */
    private static Ids.Worker seen(
            ClusterModel world, List<Endpoint> open, Request submission, int from) {
        double work = Double.isNaN(submission.estimatedWork()) ? 0 : submission.estimatedWork();
        Scenario.RequestClass offering =
                world.scenario.offerings().stream()
                        .filter(o -> o.name().equals(submission.requestClass().name()))
                        .findFirst()
                        .orElseThrow();
        ToDoubleFunction<Endpoint> end =
                w ->
                        model(world, w).doneAt(work)
                                + model(world, w).failingPart() * offering.quoted();
        Ids.Worker best = least(open, from, end);
        double done = world.workers.get((int) best.value()).doneAt(work);
        double quotedAt =
                submission.deadline()
                        - offering.outer()
                        + offering.quoted()
                        + offering.stretch() * work;
        return done > submission.deadline() || (offering.lateValue() < WORTH_IT && done > quotedAt)
                ? null
                : best;
    }

    private static Strategy.Factory baseline(BaselineStrategy.WorkerSelector choice) {
        return (settings, dispatcher) -> new BaselineStrategy(settings, dispatcher, choice);
    }

    private static WorkerModel model(ClusterModel world, Endpoint listing) {
        return world.workers.get((int) listing.worker().value());
    }

    private static double capacity(ClusterModel world, Endpoint listing) {
        WorkerModel model = model(world, listing);
        return model.group.speed() * model.group.slots();
    }

    private static Ids.Worker least(
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
