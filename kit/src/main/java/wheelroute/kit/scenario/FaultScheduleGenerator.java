package wheelroute.kit.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import wheelroute.kit.model.SeededRandom;

/**
 * Draws the random faults of a scenario. Kinds, times and targets depend on the seed alone, so a
 * schedule under which a run fails can be reproduced, and saved as a scenario file.
 */
public final class FaultScheduleGenerator {
    static final double MIN_DURATION_SECONDS = 0.1;

    /** Time without random faults at the start and at the end of each cycle. */
    private static final double FAULT_FREE_SECONDS = 0.5;

    /** Times and levels are rounded to two decimals, which keeps written scenarios legible. */
    private static final double ROUNDING_STEPS = 100;

    /**
     * Pick of the first random fault. Each random fault has its own pick, so that removing one
     * fault does not change the targets of the others.
     */
    private static final int FIRST_RANDOM_PICK = 100;

    private static final double MIN_TARGET_FRACTION = 0.01;
    private static final double MAX_TARGET_FRACTION = 0.6;
    private static final double MAX_DELAY_SPREAD_SECONDS = 0.1;

    /** Kinds that are never drawn, as they are useful only as part of a planned schedule. */
    private static final Set<FaultKind> EXCLUDED_KINDS =
            EnumSet.of(
                    FaultKind.ROLLING_DEPLOY,
                    FaultKind.LOAD_REPORT_DELAY,
                    FaultKind.LINK_DUPLICATION);

    /** Links that random faults affect; without links to peers, as few scenarios have peers. */
    private static final List<LinkKind> RANDOM_LINKS =
            List.of(LinkKind.WORKERS, LinkKind.DISCOVERY, LinkKind.CLIENTS);

    private FaultScheduleGenerator() {}

    /** Returns the kinds that may be drawn, given whether the run has real processes. */
    static List<FaultKind> eligibleKinds(boolean hasProcesses) {
        return Arrays.stream(FaultKind.values())
                .filter(kind -> hasProcesses || !kind.needsProcesses())
                .filter(kind -> !EXCLUDED_KINDS.contains(kind))
                .toList();
    }

    /**
     * Returns the scenario with its own faults and the faults that the seed draws. A scenario
     * without random faults is returned unchanged.
     */
    public static Scenario withRandomFaults(Scenario scenario, long seed) {
        if (scenario.randomFaults().countPerCycle() == 0) {
            return scenario;
        }
        List<Scenario.Fault> randomFaults = new ArrayList<>();
        SeededRandom random = new SeededRandom(seed);
        for (int i = 0; i < scenario.randomFaults().countPerCycle(); i++) {
            SplittableRandom generator = random.generator(SeededRandom.Purpose.SCHEDULE, i, 0);
            randomFaults.add(randomFault(scenario, generator, FIRST_RANDOM_PICK + i));
        }
        randomFaults.sort(Comparator.comparingDouble(Scenario.Fault::startSeconds));
        List<Scenario.Fault> all = new ArrayList<>(scenario.faults());
        all.addAll(randomFaults);
        return scenario.withFaults(all);
    }

    /** Draws a fault. Reordering the draws changes which faults a seed yields. */
    private static Scenario.Fault randomFault(
            Scenario scenario, SplittableRandom random, int pick) {
        FaultKind kind = randomItem(scenario.randomFaults().kinds(), random);
        double maxSeconds =
                Math.min(
                        scenario.randomFaults().maxDurationSeconds(),
                        scenario.cycleSeconds() - 2 * FAULT_FREE_SECONDS);
        double durationSeconds = randomDuration(maxSeconds, random);
        double startSpreadSeconds = randomStartSpread(kind, maxSeconds - durationSeconds, random);
        double startSeconds =
                randomStart(scenario.cycleSeconds(), durationSeconds, startSpreadSeconds, random);
        String group = randomGroup(scenario, kind, random);
        double targetFraction = randomTargetFraction(random);
        LinkKind links = randomLinks(kind, random);
        FaultMode mode = randomMode(scenario, kind, random);
        double delaySpreadSeconds = randomDelaySpread(kind, random);
        return new Scenario.Fault(
                kind,
                startSeconds,
                durationSeconds,
                links == LinkKind.WORKERS ? group : "",
                targetFraction,
                randomLevel(kind, random),
                pick,
                startSpreadSeconds,
                links,
                "",
                "",
                delaySpreadSeconds,
                mode,
                1);
    }

    private static double randomDuration(double maxSeconds, SplittableRandom random) {
        return round(
                MIN_DURATION_SECONDS + (maxSeconds - MIN_DURATION_SECONDS) * random.nextDouble());
    }

    /**
     * Draws the longest delay of the start at a target, in seconds. Half of the faults of
     * dispatchers, and all other faults, have no delay and affect all their targets at once.
     */
    private static double randomStartSpread(
            FaultKind kind, double maxSeconds, SplittableRandom random) {
        return kind.affectsDispatchers() && random.nextBoolean()
                ? round(random.nextDouble() * Math.max(0, maxSeconds))
                : 0;
    }

    private static double randomStart(
            double cycleSeconds,
            double durationSeconds,
            double startSpreadSeconds,
            SplittableRandom random) {
        double latest =
                cycleSeconds - 2 * FAULT_FREE_SECONDS - durationSeconds - startSpreadSeconds;
        return round(FAULT_FREE_SECONDS + random.nextDouble() * Math.max(0, latest));
    }

    /** Returns the name of a random worker group, or an empty name for all groups. */
    private static String randomGroup(Scenario scenario, FaultKind kind, SplittableRandom random) {
        boolean isOneGroup =
                !kind.affectsDispatchers() || (kind.affectsLinks() && random.nextBoolean());
        return isOneGroup ? randomItem(scenario.groups(), random).name() : "";
    }

    private static double randomTargetFraction(SplittableRandom random) {
        return round(
                MIN_TARGET_FRACTION
                        + (MAX_TARGET_FRACTION - MIN_TARGET_FRACTION) * random.nextDouble());
    }

    private static LinkKind randomLinks(FaultKind kind, SplittableRandom random) {
        return kind.affectsLinks() && kind != FaultKind.DISCOVERY_LINK_CUT
                ? randomItem(RANDOM_LINKS, random)
                : LinkKind.WORKERS;
    }

    private static FaultMode randomMode(
            Scenario scenario, FaultKind kind, SplittableRandom random) {
        boolean hasChangedSettings = !scenario.changedSettings().isEmpty();
        List<FaultMode> modes =
                kind.allowedModes().stream()
                        .filter(mode -> mode != FaultMode.OLDER_BUILD)
                        .filter(mode -> mode != FaultMode.CHANGED_SETTINGS || hasChangedSettings)
                        .toList();
        return randomItem(modes, random);
    }

    private static double randomDelaySpread(FaultKind kind, SplittableRandom random) {
        return kind == FaultKind.LINK_DELAY
                ? round(random.nextDouble() * MAX_DELAY_SPREAD_SECONDS)
                : 0;
    }

    private static double randomLevel(FaultKind kind, SplittableRandom random) {
        double draw = random.nextDouble();
        return switch (kind) {
            case ERROR_BURST, LINK_LOSS -> round(0.1 + 0.9 * draw);
            case SLOWDOWN -> round(0.05 + 0.6 * draw);
            case DISCOVERY_DELAY -> round(0.2 + 3 * draw);
            case LINK_DELAY -> round(0.02 + 0.4 * draw);
            case LINK_BANDWIDTH -> Math.rint(500 + 20_000 * draw);
            case DISPATCHER_CPU_LIMIT -> round(0.1 + 0.5 * draw);
            case IDLE_CONNECTION_FLOOD -> Math.rint(20 + 200 * draw);
            default -> kind.defaultLevel();
        };
    }

    private static <T> T randomItem(List<T> items, SplittableRandom random) {
        return items.get(random.nextInt(items.size()));
    }

    private static double round(double value) {
        return Math.rint(value * ROUNDING_STEPS) / ROUNDING_STEPS;
    }
}
