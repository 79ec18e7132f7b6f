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
 * Schedules drawn from a seed: which faults, when, how long and whom they meet depends on the seed
 * alone, so that one that fails can be played again, and written down as a scenario.
 */
public final class FaultScheduleGenerator {
    /** Shorter than this nobody would notice. */
    static final double MIN_LENGTH = 0.1;

    /** Before the first fault all is as usual for so long, and so long after the last one. */
    private static final double QUIET_TIME = 0.5;

    /** Times and levels have two decimals: a person may read what is written down. */
    private static final double STEPS = 100;

    /** Faults drawn have picks of their own, so that taking one out moves none of the others. */
    private static final int FIRST_RANDOM_PICK = 100;

    /** The most of its dispatchers or workers that a drawn fault meets. */
    private static final double MAX_SHARE = 0.6;

    /** Whatever the share, one of them is met. */
    private static final double MIN_SHARE = 0.01;

    private static final Set<Scenario.Kind> PLANNED =
            EnumSet.of(Scenario.Kind.DEPLOY, Scenario.Kind.LATE_REPORTS, Scenario.Kind.LINK_DOUBLE);

    /** Ways to peers are harmed by plan: few scenarios have any. */
    private static final List<Scenario.LinkKind> ENDS =
            List.of(Scenario.LinkKind.WORKERS, Scenario.LinkKind.LIST, Scenario.LinkKind.CLIENTS);

    private FaultScheduleGenerator() {}

    /** What may be drawn: whatever the clocks can play, less what only makes sense by plan. */
    static List<Scenario.Kind> kinds(boolean processes) {
        return Arrays.stream(Scenario.Kind.values())
                .filter(kind -> processes || !kind.needsProcesses())
                .filter(kind -> !PLANNED.contains(kind))
                .toList();
    }

    /** All faults of a run with this seed: those that the scenario names, and those drawn. */
    public static Scenario withRandomFaults(Scenario scenario, long seed) {
        if (scenario.randomFaults().perCycle() == 0) {
            return scenario;
        }
        List<Scenario.Fault> all = new ArrayList<>(scenario.faults());
        List<Scenario.Fault> drawn = new ArrayList<>();
        SeededRandom random = new SeededRandom(seed);
        for (int i = 0; i < scenario.randomFaults().perCycle(); i++) {
            drawn.add(
                    randomFault(
                            scenario,
                            random.generator(SeededRandom.Purpose.SCHEDULE, i, 0),
                            FIRST_RANDOM_PICK + i));
        }
        drawn.sort(Comparator.comparingDouble(Scenario.Fault::start));
        all.addAll(drawn);
        return scenario.with(all);
    }

    private static Scenario.Fault randomFault(
            Scenario scenario, SplittableRandom random, int pick) {
        Scenario.RandomFaults bounds = scenario.randomFaults();
        Scenario.Kind kind = randomItem(bounds.kinds(), random);
        double most = Math.min(bounds.maxLength(), scenario.cycle() - 2 * QUIET_TIME);
        double length = round(MIN_LENGTH + (most - MIN_LENGTH) * random.nextDouble());
        // Half of them strike all at one moment, the others one after another.
        double within =
                kind.affectsDispatchers() && random.nextBoolean()
                        ? round(random.nextDouble() * Math.max(0, most - length))
                        : 0;
        double at =
                round(
                        QUIET_TIME
                                + random.nextDouble()
                                        * Math.max(
                                                0,
                                                scenario.cycle()
                                                        - 2 * QUIET_TIME
                                                        - length
                                                        - within));
        String group =
                !kind.affectsDispatchers() || (kind.affectsLinks() && random.nextBoolean())
                        ? randomItem(scenario.groups(), random).name()
                        : "";
        double share = round(MIN_SHARE + (MAX_SHARE - MIN_SHARE) * random.nextDouble());
        Scenario.LinkKind ends =
                kind.affectsLinks() && kind != Scenario.Kind.LIST_CUT
                        ? randomItem(ENDS, random)
                        : Scenario.LinkKind.WORKERS;
        Scenario.How how =
                randomItem(
                        kind.allowedHows().stream()
                                .filter(h -> h != Scenario.How.OLDER)
                                .filter(
                                        h ->
                                                h != Scenario.How.CHANGED
                                                        || !scenario.changedSettings().isEmpty())
                                .toList(),
                        random);
        double spread = kind == Scenario.Kind.LINK_SLOW ? round(random.nextDouble() * 0.1) : 0;
        return new Scenario.Fault(
                kind,
                at,
                length,
                ends == Scenario.LinkKind.WORKERS ? group : "",
                share,
                level(kind, random),
                pick,
                within,
                ends,
                "",
                "",
                spread,
                how,
                1);
    }

    private static double level(Scenario.Kind kind, SplittableRandom random) {
        double part = random.nextDouble();
        return switch (kind) {
            case BURST, LINK_LOSS -> round(0.1 + 0.9 * part);
            case SLOW -> round(0.05 + 0.6 * part);
            case LIST_LATE -> round(0.2 + 3 * part);
            case LINK_SLOW -> round(0.02 + 0.4 * part);
            case LINK_TRICKLE -> Math.rint(500 + 20_000 * part);
            case DISPATCHER_STARVE -> round(0.1 + 0.5 * part);
            case CROWD -> Math.rint(20 + 200 * part);
            default -> ScenarioReader.levels(kind)[0];
        };
    }

    private static <T> T randomItem(List<T> open, SplittableRandom random) {
        return open.get(random.nextInt(open.size()));
    }

    private static double round(double value) {
        return Math.rint(value * STEPS) / STEPS;
    }
}
