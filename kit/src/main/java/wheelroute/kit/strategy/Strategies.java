package wheelroute.kit.strategy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import wheelroute.kit.model.ClusterModel;

/** All strategies by name. */
public final class Strategies {
    /** The dispatcher's own policy, with which the others are compared. */
    public static final String POLICY = "module";

    /** Knows the true state of all workers, which no dispatcher can. */
    public static final String OMNISCIENT = "seeing";

    private static final Map<String, Function<ClusterModel, Strategy.Factory>> FACTORIES =
            new TreeMap<>(
                    Map.of(
                            POLICY,
                            cluster -> PolicyStrategy::new,
                            OMNISCIENT,
                            cluster -> baseline(() -> new OmniscientSelector(cluster)),
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

    /** Returns the factory of the strategy of this name. */
    public static Strategy.Factory factory(String name, ClusterModel cluster) {
        return FACTORIES.get(name).apply(cluster);
    }

    /** Each dispatcher has a selector of its own, as a selector may have state. */
    private static Strategy.Factory baseline(Supplier<WorkerSelector> selectors) {
        return (settings, actions) -> new BaselineStrategy(settings, actions, selectors.get());
    }
}
