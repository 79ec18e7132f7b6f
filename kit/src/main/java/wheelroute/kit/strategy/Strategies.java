package wheelroute.kit.strategy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import wheelroute.kit.model.ClusterModel;

/** Registry of all strategies by name. */
public final class Strategies {
    /** Name of the dispatcher's own policy, with which the others are compared. */
    public static final String POLICY = "module";

    /** Name of the baseline that knows the true state of all workers, unlike any dispatcher. */
    public static final String ORACLE = "seeing";

    private static final Map<String, Function<ClusterModel, Strategy.Factory>> FACTORIES =
            new TreeMap<>(
                    Map.of(
                            POLICY,
                            cluster -> PolicyStrategy::new,
                            ORACLE,
                            cluster -> baseline(() -> new OracleSelector(cluster)),
                            "random",
                            cluster -> baseline(() -> WorkerSelectors.random(cluster)),
                            "round-robin",
                            cluster -> baseline(WorkerSelectors::roundRobin),
                            "least-outstanding",
                            cluster -> baseline(WorkerSelectors::leastOutstanding),
                            "two-choices",
                            cluster -> baseline(WorkerSelectors::twoChoices)));

    private Strategies() {}

    /** Returns the names of all strategies, sorted. */
    public static List<String> names() {
        return List.copyOf(FACTORIES.keySet());
    }

    /** Returns the factory of the strategy of this name, which must be one of {@link #names}. */
    public static Strategy.Factory factory(String name, ClusterModel cluster) {
        return FACTORIES.get(name).apply(cluster);
    }

    /** Returns a factory that gives each baseline its own selector, which may have state. */
    private static Strategy.Factory baseline(Supplier<WorkerSelector> selectorFactory) {
        return (settings, actions) ->
                new BaselineStrategy(settings, actions, selectorFactory.get());
    }
}
