package wheelroute.kit.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheelroute.kit.experiment.Agreement;
import wheelroute.kit.experiment.Comparison;
import wheelroute.kit.experiment.Matrix;
import wheelroute.kit.experiment.Plan;
import wheelroute.kit.experiment.Variant;
import wheelroute.kit.faults.ScheduleMinimizer;
import wheelroute.kit.report.HtmlWriter;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioLibrary;
import wheelroute.kit.scenario.ScenarioWriter;
import wheelroute.kit.strategy.Strategies;

@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = "Play scenarios against the dispatcher, watch the rules, and report.")
final class Rehearse implements Callable<Integer> {
    private static final String REAL = "real";
    private static final String VIRTUAL = "virtual";
    private static final String BOTH = "both";

    /** Plays of a schedule that fails, to make it smaller. */
    private static final int MOST_CUTS = 60;

    @Parameters(
            arity = "0..*",
            paramLabel = "NAME|FILE",
            description = "shipped scenarios or files; closing-prices, quickly, if none")
    private List<String> names = new ArrayList<>();

    @Option(
            names = "--seed",
            split = ",",
            paramLabel = "N[,N...]|N..N",
            description = "seeds (default: 1)")
    private List<String> seeds = List.of("1");

    @Option(
            names = "--seconds",
            paramLabel = "S",
            description = "how long asks come, instead of the" + " scenario's")
    private double seconds;

    @Option(
            names = "--clock",
            paramLabel = "virtual|real|both",
            description =
                    "real if all scenarios and variants can be played so; both compares the two")
    private String clock;

    @Option(names = "--quick", description = "30 s at most")
    private boolean quick;

    @Option(
            names = "--twice",
            description = "everything twice: the same seed must give the same figures")
    private boolean twice;

    @Option(
            names = "--variant",
            paramLabel = "NAME:KEY=VALUE,...",
            description =
                    "another way to dispatch"
                            + " beside "
                            + "the first: a setting, brain=NAME on the virtual clock, daemon=JAR on the real one; repeatable")
    private List<String> variants = new ArrayList<>();

    @Option(names = "--baselines", description = "every baseline as a variant")
    private boolean baselines;

    @Option(
            names = "--older",
            paramLabel = "JAR",
            description = "the daemon of an earlier build, for faults" + " that start one")
    private Path older;

    @Option(
            names = "--cores",
            paramLabel = "N",
            description =
                    "runs side by side (default: on the virtual"
                            + " clock all cores, on the real one 1)")
    private Integer cores;

    @Option(
            names = "--cut-down",
            paramLabel = "FILE",
            description =
                    "the first run that does not hold is"
                            + " made smaller, as long as it still does not, and written there as a scenario")
    private Path cutDown;

    @Option(names = "--json", paramLabel = "FILE", description = "the reports for machines")
    private Path json;

    @Option(
            names = "--html",
            paramLabel = "FILE",
            description = "the reports as one page with plots")
    private Path html;

    @Option(names = "--list", description = "list the shipped scenarios")
    private boolean list;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (list) {
            for (String name : ScenarioLibrary.NAMES) {
                Scenario scenario = ScenarioLibrary.find(name);
                out.printf("%-20s %s%n", name, scenario.title());
            }
            out.flush();
            return Exit.HOLDS;
        }
        List<Scenario> scenarios = scenarios();
        List<Variant> all = variants();
        if (seconds < 0 || (seconds > 0 && seconds < 1)) {
            throw new CommandLineException("--seconds: " + seconds + " is under 1");
        }
        if (older != null && !Files.isRegularFile(older)) {
            throw new CommandLineException("--older: " + older + " is no file");
        }
        if (cores != null && cores < 1) {
            throw new CommandLineException("--cores: " + cores + " is under 1");
        }
        List<Plan> plans = plans(scenarios, all);
        OutputFile jsonFile = OutputFile.open("--json", json);
        OutputFile htmlFile = OutputFile.open("--html", html);
        OutputFile cutFile = OutputFile.open("--cut-down", cutDown);
        StopSignal stop = new StopSignal();
        try {
            return play(plans, jsonFile, htmlFile, cutFile, stop, out);
        } finally {
            if (cutFile != null) {
                cutFile.drop();
            }
            if (jsonFile != null) {
                jsonFile.drop();
            }
            if (htmlFile != null) {
                htmlFile.drop();
            }
            stop.finished();
        }
    }

    private int play(
            List<Plan> plans,
            OutputFile jsonFile,
            OutputFile htmlFile,
            OutputFile cutFile,
            StopSignal stop,
            PrintWriter out)
            throws Exception {
        PrintWriter err = spec.commandLine().getErr();
        List<Report> reports = new ArrayList<>();
        List<List<Report>> rounds = new ArrayList<>();
        for (Plan plan : plans) {
            for (int round = 0; round < (twice ? 2 : 1) && !stop.getAsBoolean(); round++) {
                List<Report> played =
                        new Matrix(
                                        plan,
                                        cores(plan),
                                        stop,
                                        text -> {
                                            err.println(text);
                                            err.flush();
                                        })
                                .run();
                rounds.add(played);
                if (round == 0) {
                    reports.addAll(played);
                }
            }
        }
        String comparison = "";
        if (reports.size() > 1 && plans.size() == 1) {
            comparison = Comparison.text(Comparison.of(reports));
        }
        for (Report report : reports) {
            out.println(TableWriter.text(report));
        }
        out.print(comparison);
        boolean agree = agree(plans, rounds, stop, out);
        if (jsonFile != null) {
            jsonFile.write(JsonWriter.text(reports));
        }
        if (htmlFile != null) {
            htmlFile.write(HtmlWriter.text(reports, comparison));
        }
        out.flush();
        if (cutFile != null) {
            cutDown(plans, reports, cutFile, stop, out);
        }
        if (stop.getAsBoolean()) {
            return Exit.STOPPED;
        }
        // A variant that is there to be compared with need not hold; whoever it is, it must be
        // watched.
        String first = plans.get(0).variants().get(0).name();
        Set<Report.Judgement> judged =
                reports.stream()
                        .filter(r -> r.run().variant().equals(first))
                        .map(Report::judgement)
                        .collect(Collectors.toSet());
        if (judged.contains(Report.Judgement.DOES_NOT_HOLD)) {
            return Exit.DOES_NOT_HOLD;
        }
        if (judged.contains(Report.Judgement.NOT_JUDGED)
                || reports.stream().anyMatch(r -> r.judgement() == Report.Judgement.NOT_JUDGED)) {
            return Exit.NOT_JUDGED;
        }
        return agree ? Exit.HOLDS : Exit.DOES_NOT_HOLD;
    }

    /** Plays the first that does not hold again and again, with less and less of its schedule. */
    private void cutDown(
            List<Plan> plans,
            List<Report> reports,
            OutputFile file,
            StopSignal stop,
            PrintWriter out)
            throws Exception {
        for (Plan plan : plans) {
            for (Plan.Item item : plan.items()) {
                Report first =
                        reports.stream()
                                .filter(
                                        r ->
                                                r.run().scenario().equals(item.scenario().name())
                                                        && r.run().seed() == item.seed()
                                                        && r.run()
                                                                .variant()
                                                                .equals(item.variant().name())
                                                        && r.run()
                                                                .clock()
                                                                .equals(plan.clock().word()))
                                .findFirst()
                                .orElse(null);
                if (first == null || first.judgement() != Report.Judgement.DOES_NOT_HOLD) {
                    continue;
                }
                Scenario whole =
                        FaultScheduleGenerator.withRandomFaults(item.scenario(), item.seed());
                Matrix player = new Matrix(plan, 1, stop, text -> {});
                ScheduleMinimizer.Result result =
                        ScheduleMinimizer.of(
                                whole.faults(),
                                MOST_CUTS,
                                faults -> {
                                    Report report = player.run(item.with(whole.with(faults)));
                                    spec.commandLine()
                                            .getErr()
                                            .println(
                                                    "with "
                                                            + faults.size()
                                                            + " faults: "
                                                            + report.judgement()
                                                                    .name()
                                                                    .toLowerCase(Locale.ROOT));
                                    return !stop.getAsBoolean()
                                            && report.judgement() == Report.Judgement.DOES_NOT_HOLD;
                                });
                file.write(
                        "# Seed "
                                + item.seed()
                                + ", cut down from "
                                + whole.faults().size()
                                + " faults in "
                                + result.runs()
                                + " plays"
                                + (result.complete() ? "" : ", not to its end")
                                + ": play it with this seed.\n"
                                + ScenarioWriter.text(whole.with(result.faults())));
                out.println(
                        item.text()
                                + ": cut down to "
                                + result.faults().size()
                                + " of "
                                + whole.faults().size()
                                + " faults in "
                                + result.runs()
                                + " plays");
                return;
            }
        }
    }

    /** Processes and stubs share the cores: real runs side by side measure each other a little. */
    private int cores(Plan plan) {
        return cores != null
                ? cores
                : plan.clock() == Plan.Clock.REAL ? 1 : Runtime.getRuntime().availableProcessors();
    }

    private boolean agree(
            List<Plan> plans, List<List<Report>> rounds, StopSignal stop, PrintWriter out) {
        boolean agree = true;
        if (stop.getAsBoolean()) {
            return true;
        }
        if (twice) {
            for (int i = 0; i < rounds.size(); i += 2) {
                Agreement repeated = Agreement.ofRepeats(rounds.get(i), rounds.get(i + 1));
                out.print(repeated.text());
                agree &= repeated.holds();
            }
        }
        if (plans.size() > 1) {
            Agreement clocks = Agreement.ofClocks(rounds.get(0), rounds.get(rounds.size() - 1));
            out.print(clocks.text());
            agree &= clocks.holds();
        }
        return agree;
    }

    private List<Scenario> scenarios() throws ScenarioException, CommandLineException {
        if (names.isEmpty()) {
            names = List.of(ScenarioLibrary.NAMES.get(0));
            quick |= seconds == 0;
        }
        List<Scenario> scenarios = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw new CommandLineException(name + " is named twice");
            }
            scenarios.add(ScenarioLibrary.find(name));
        }
        return scenarios;
    }

    private List<Variant> variants() throws CommandLineException {
        List<Variant> all = new ArrayList<>(List.of(Variant.USUAL));
        try {
            variants.forEach(text -> all.add(Variant.parse(text)));
        } catch (IllegalArgumentException e) {
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
                throw new CommandLineException("--variant: " + variant.name() + " is named twice");
            }
        }
        return all;
    }

    private List<Plan> plans(List<Scenario> scenarios, List<Variant> all)
            throws CommandLineException {
        boolean realDaemons =
                scenarios.stream().allMatch(s -> s.clocks().contains(REAL))
                        && all.stream().allMatch(v -> v.brain().equals(Strategies.POLICY));
        String wanted =
                clock == null ? realDaemons ? REAL : VIRTUAL : clock.toLowerCase(Locale.ROOT);
        if (!Set.of(REAL, VIRTUAL, BOTH).contains(wanted)) {
            throw new CommandLineException("--clock: " + clock + " is none of virtual, real, both");
        }
        for (Scenario scenario : scenarios) {
            for (String word : wanted.equals(BOTH) ? List.of(VIRTUAL, REAL) : List.of(wanted)) {
                if (!scenario.clocks().contains(word)) {
                    throw new CommandLineException(
                            scenario.name() + " cannot be played on the " + word + " clock");
                }
            }
        }
        if (!wanted.equals(VIRTUAL) && !realDaemons) {
            throw new CommandLineException("baselines are played on the virtual clock only");
        }
        if (!wanted.equals(REAL) && all.stream().anyMatch(v -> v.jar() != null)) {
            throw new CommandLineException(
                    "another build's daemon is played on the real clock only");
        }
        List<Long> numbers = seeds();
        List<Plan> plans = new ArrayList<>();
        if (!wanted.equals(REAL)) {
            plans.add(new Plan(scenarios, numbers, all, Plan.Clock.VIRTUAL, seconds, quick, older));
        }
        if (!wanted.equals(VIRTUAL)) {
            plans.add(new Plan(scenarios, numbers, all, Plan.Clock.REAL, seconds, quick, older));
        }
        return plans;
    }

    private List<Long> seeds() throws CommandLineException {
        List<Long> numbers = new ArrayList<>();
        for (String text : seeds) {
            try {
                int dots = text.indexOf("..");
                if (dots < 0) {
                    numbers.add(Long.parseLong(text.trim()));
                } else {
                    long from = Long.parseLong(text.substring(0, dots).trim());
                    long to = Long.parseLong(text.substring(dots + 2).trim());
                    if (to < from || to - from > 1000) {
                        throw new CommandLineException(
                                "--seed: " + text + " is no range of up to 1000");
                    }
                    for (long seed = from; seed <= to; seed++) {
                        numbers.add(seed);
                    }
                }
            } catch (NumberFormatException e) {
                throw new CommandLineException(
                        "--seed: " + text + " is no whole number and no range");
            }
        }
        return numbers;
    }
}
