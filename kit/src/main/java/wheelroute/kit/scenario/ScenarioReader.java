package wheelroute.kit.scenario;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import wheelroute.config.TomlFields;

/**
 * Reads a scenario file and validates the whole file, so that all its errors are reported at once
 * and none appears during the run. Only this class, the readers that it uses and {@link
 * ScenarioWriter} know the keys of scenario files.
 */
public final class ScenarioReader {
    private static final String VIRTUAL = "virtual";
    private static final String REAL = "real";
    private static final int MAX_DISPATCHERS = 10_000;
    private static final long MAX_BYTES = 1 << 20;

    /** The values of the table "run". */
    private record RunSection(
            double durationSeconds,
            double cycleSeconds,
            List<String> clocks,
            int dispatcherCount,
            List<String> zones,
            boolean peersEnabled) {}

    private final TomlFields root;

    private ScenarioReader(TomlFields root) {
        this.root = root;
    }

    /**
     * Reads a scenario file.
     *
     * @throws ScenarioException if the file is invalid, too large or cannot be read
     */
    public static Scenario read(Path file) throws ScenarioException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new ScenarioException(
                        file.toString(), List.of("is larger than " + MAX_BYTES + " bytes"));
            }
            return read(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException | InvalidPathException e) {
            throw new ScenarioException(file.toString(), List.of("cannot be read: " + e));
        }
    }

    /**
     * Reads a scenario from the text of a scenario file.
     *
     * @param name of the scenario, also used in error messages
     * @throws ScenarioException with every error in the text
     */
    public static Scenario read(String name, String text) throws ScenarioException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new ScenarioException(
                    name,
                    toml.errors().stream()
                            .map(e -> "line " + e.position().line() + ": " + e.getMessage())
                            .toList());
        }
        List<TomlFields.FieldError> errors = new ArrayList<>();
        Scenario scenario = new ScenarioReader(new TomlFields(toml, "", errors)).read(name);
        if (!errors.isEmpty()) {
            errors.sort(Comparator.comparingInt(TomlFields.FieldError::line));
            throw new ScenarioException(
                    name, errors.stream().map(TomlFields.FieldError::toString).toList());
        }
        return scenario;
    }

    private Scenario read(String name) {
        String title = root.text("title", "");
        List<Scenario.WorkerGroup> groups = readAll("workers", WorkloadReader::workerGroup);
        RunSection run = readRun(root.table("run"), groups);
        FaultReader faults =
                new FaultReader(
                        run.cycleSeconds(), groups, run.zones(), run.clocks().contains(VIRTUAL));
        Scenario scenario =
                new Scenario(
                        name,
                        title,
                        run.durationSeconds(),
                        run.cycleSeconds(),
                        run.clocks(),
                        run.dispatcherCount(),
                        run.zones(),
                        run.peersEnabled(),
                        readTable("limits", PlatformReader::limits),
                        groups,
                        readAll("offerings", WorkloadReader::requestClass),
                        readAll("tenants", WorkloadReader::tenant),
                        readAll("load", f -> WorkloadReader.loadPoint(f, run.cycleSeconds())),
                        readTable("clients", WorkloadReader::clients),
                        readTable("network", PlatformReader::network),
                        readTable("terms", PlatformReader::terms),
                        readAll("faults", faults::fault),
                        readTable("drawn", faults::randomFaults),
                        expectations(root.table("expect")),
                        texts(root.table("daemon")),
                        texts(root.table("changed")));
        root.rejectUnknownKeys();
        check(scenario);
        return scenario;
    }

    private <T> T readTable(String key, Function<TomlFields, T> reader) {
        return ScenarioFields.readStrictly(root.table(key), reader);
    }

    private <T> List<T> readAll(String key, Function<TomlFields, T> reader) {
        List<T> items = new ArrayList<>();
        root.tables(key).forEach(fields -> items.add(ScenarioFields.readStrictly(fields, reader)));
        return items;
    }

    private static RunSection readRun(TomlFields run, List<Scenario.WorkerGroup> groups) {
        double durationSeconds = run.number("seconds", 60, 1, ScenarioFields.MAX_SECONDS);
        double cycleSeconds = run.number("cycle", durationSeconds, 1, ScenarioFields.MAX_SECONDS);
        List<String> clocks =
                run.textList("clocks", List.of(VIRTUAL, REAL), List.of(VIRTUAL, REAL));
        int dispatcherCount = run.integer("dispatchers", 1, 1, MAX_DISPATCHERS);
        List<String> workerZones =
                groups.stream().map(Scenario.WorkerGroup::zone).distinct().toList();
        List<String> zones = run.textList("zones", List.of(), workerZones);
        boolean peersEnabled = run.flag("peers", false);
        if (peersEnabled && clocks.contains(VIRTUAL)) {
            run.addError(
                    "peers", "cannot be simulated, so run.clocks must be [\"real\"]: " + clocks);
        }
        run.rejectUnknownKeys();
        return new RunSection(
                durationSeconds, cycleSeconds, clocks, dispatcherCount, zones, peersEnabled);
    }

    private static Map<String, String> texts(TomlFields fields) {
        Map<String, String> texts = new LinkedHashMap<>();
        for (String key : fields.keys()) {
            texts.put(key, fields.text(key, ""));
        }
        return texts;
    }

    private static List<Scenario.Expectation> expectations(TomlFields fields) {
        List<Scenario.Expectation> expectations = new ArrayList<>();
        for (String metric : fields.keys()) {
            if (MetricNames.isKnown(metric)) {
                expectations.add(
                        ScenarioFields.readStrictly(
                                fields.table(metric), bounds -> expectation(metric, bounds)));
            } else {
                fields.addError(
                        metric, "is not a figure of a report; known figures: " + MetricNames.KNOWN);
                fields.table(metric);
            }
        }
        return expectations;
    }

    private static Scenario.Expectation expectation(String metric, TomlFields bounds) {
        double max = ScenarioFields.MAX_NUMBER;
        return new Scenario.Expectation(
                metric,
                bounds.number("least", Double.NEGATIVE_INFINITY, -max, max),
                bounds.number("most", Double.POSITIVE_INFINITY, -max, max));
    }

    /** Records violations of rules that concern more than one item or table. */
    private void check(Scenario scenario) {
        requireNonEmpty("workers", scenario.groups());
        requireNonEmpty("offerings", scenario.requestClasses());
        requireNonEmpty("load", scenario.load());
        requireUnique("workers", scenario.groups(), Scenario.WorkerGroup::name);
        requireUnique("offerings", scenario.requestClasses(), Scenario.RequestClass::name);
        requireUnique("tenants", scenario.tenants(), Scenario.Tenant::name);
        requireAscending(scenario.load());
        if (scenario.workerCount() > WorkloadReader.MAX_WORKERS) {
            root.addError(
                    "workers",
                    "must be at most "
                            + WorkloadReader.MAX_WORKERS
                            + " in total, got "
                            + scenario.workerCount());
        }
    }

    private void requireNonEmpty(String key, List<?> items) {
        if (items.isEmpty()) {
            root.addError(key, root.contains(key) ? "is empty" : "is missing");
        }
    }

    private <T> void requireUnique(String key, List<T> items, Function<T, String> nameOf) {
        Set<String> seen = new HashSet<>();
        for (T item : items) {
            String name = nameOf.apply(item);
            if (!seen.add(name)) {
                root.addError(key, "has more than one item named " + name);
            }
        }
    }

    private void requireAscending(List<Scenario.LoadPoint> load) {
        for (int i = 1; i < load.size(); i++) {
            double at = load.get(i).atSeconds();
            if (at < load.get(i - 1).atSeconds()) {
                root.addError(
                        "load",
                        "must be in order of time, but at = "
                                + at
                                + " follows at = "
                                + load.get(i - 1).atSeconds());
            }
        }
    }
}
