package wheelroute.kit.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheelroute.kit.experiment.InvalidVariantException;
import wheelroute.kit.experiment.Plan;
import wheelroute.kit.experiment.Variant;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioLibrary;
import wheelroute.kit.strategy.Strategies;

/** The options that select the runs of a rehearsal: scenarios, seeds, variants and clocks. */
final class PlanOptions {
    private static final String REAL = Plan.Clock.REAL.label();
    private static final String VIRTUAL = Plan.Clock.VIRTUAL.label();
    private static final String BOTH = "both";
    private static final double MIN_SECONDS = 1;

    @Parameters(
            arity = "0..*",
            paramLabel = "NAME|FILE",
            description = "scenarios by name or file (default: a quick run of closing-prices)")
    private List<String> scenarioNames = new ArrayList<>();

    @Option(
            names = "--seed",
            split = ",",
            paramLabel = "N[,N...]|N..N",
            description = "seeds (default: 1)")
    private List<String> seeds = List.of("1");

    @Option(
            names = "--seconds",
            paramLabel = "S",
            description = "for how long requests arrive (default: the scenario's duration)")
    private double durationSeconds;

    @Option(
            names = "--clock",
            paramLabel = "virtual|real|both",
            description =
                    "clock of the runs; both compares the two (default: real if all scenarios and"
                            + " variants can run on it)")
    private String clock;

    @Option(names = "--quick", description = "limit each run to 30 s")
    private boolean quick;

    @Option(
            names = "--variant",
            paramLabel = "NAME:KEY=VALUE,...",
            description =
                    "a variant to compare with the first: settings, brain=NAME on the virtual"
                            + " clock, daemon=JAR on the real clock; repeatable")
    private List<String> variants = new ArrayList<>();

    @Option(names = "--baselines", description = "add every baseline strategy as a variant")
    private boolean baselines;

    @Option(
            names = "--older",
            paramLabel = "JAR",
            description = "the daemon of an earlier build, for faults that start one")
    private Path olderJar;

    /** Returns one plan for each selected clock, that of the virtual clock first. */
    List<Plan> plans() throws ScenarioException, CommandLineException {
        List<Scenario> scenarios = readScenarios();
        List<Variant> allVariants = readVariants();
        checkValues();
        boolean canRunReal = canRunReal(scenarios, allVariants);
        String wanted = wantedClock(canRunReal);
        checkClock(wanted, scenarios, allVariants, canRunReal);
        List<Long> seedNumbers = SeedRange.parseAll(seeds);
        List<Plan> plans = new ArrayList<>();
        for (Plan.Clock each : Plan.Clock.values()) {
            if (wanted.equals(BOTH) || wanted.equals(each.label())) {
                plans.add(
                        new Plan(
                                scenarios,
                                seedNumbers,
                                allVariants,
                                each,
                                durationSeconds,
                                quick,
                                olderJar));
            }
        }
        return plans;
    }

    private void checkValues() throws CommandLineException {
        if (durationSeconds < 0 || (durationSeconds > 0 && durationSeconds < MIN_SECONDS)) {
            throw new CommandLineException(
                    "--seconds: expected at least 1, got " + durationSeconds);
        }
        if (olderJar != null && !Files.isRegularFile(olderJar)) {
            throw new CommandLineException("--older: " + olderJar + " is not a regular file");
        }
    }

    private List<Scenario> readScenarios() throws ScenarioException, CommandLineException {
        if (scenarioNames.isEmpty()) {
            scenarioNames = List.of(ScenarioLibrary.NAMES.get(0));
            quick |= durationSeconds == 0;
        }
        List<Scenario> scenarios = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (String name : scenarioNames) {
            if (!seen.add(name)) {
                throw new CommandLineException("scenario " + name + " is given more than once");
            }
            scenarios.add(ScenarioLibrary.find(name));
        }
        return scenarios;
    }

    private List<Variant> readVariants() throws CommandLineException {
        List<Variant> all = new ArrayList<>(List.of(Variant.DEFAULT));
        try {
            for (String text : variants) {
                all.add(Variant.parse(text));
            }
        } catch (InvalidVariantException e) {
            throw new CommandLineException("--variant: " + e.getMessage());
        }
        if (baselines) {
            Strategies.names().stream()
                    .filter(name -> !name.equals(Strategies.POLICY))
                    .forEach(name -> all.add(Variant.baseline(name)));
        }
        Set<String> seen = new HashSet<>();
        for (Variant variant : all) {
            if (!seen.add(variant.name())) {
                throw new CommandLineException(
                        "--variant: name " + variant.name() + " is used more than once");
            }
        }
        return all;
    }

    private static boolean canRunReal(List<Scenario> scenarios, List<Variant> variants) {
        return scenarios.stream().allMatch(scenario -> scenario.clocks().contains(REAL))
                && variants.stream()
                        .allMatch(variant -> variant.strategy().equals(Strategies.POLICY));
    }

    private String wantedClock(boolean canRunReal) throws CommandLineException {
        if (clock == null) {
            return canRunReal ? REAL : VIRTUAL;
        }
        String wanted = clock.toLowerCase(Locale.ROOT);
        if (!Set.of(REAL, VIRTUAL, BOTH).contains(wanted)) {
            throw new CommandLineException("--clock: expected virtual, real or both, got " + clock);
        }
        return wanted;
    }

    private static void checkClock(
            String wanted, List<Scenario> scenarios, List<Variant> variants, boolean canRunReal)
            throws CommandLineException {
        List<String> labels = wanted.equals(BOTH) ? List.of(VIRTUAL, REAL) : List.of(wanted);
        for (Scenario scenario : scenarios) {
            for (String label : labels) {
                if (!scenario.clocks().contains(label)) {
                    throw new CommandLineException(
                            scenario.name() + " cannot run on the " + label + " clock");
                }
            }
        }
        if (!wanted.equals(VIRTUAL) && !canRunReal) {
            throw new CommandLineException("baseline strategies run on the virtual clock only");
        }
        if (!wanted.equals(REAL) && variants.stream().anyMatch(each -> each.jar() != null)) {
            throw new CommandLineException("a daemon of another build runs on the real clock only");
        }
    }
}
