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
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import wheelroute.config.TomlFields;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * Reads a scenario and checks it as a whole: all its faults at once, none left for the middle of a
 * run.
 */
public final class ScenarioReader {
    private static final double REQUIRED = Double.NaN;
    private static final double MAX_TIME = 86_400;
    private static final double MAX_RATE = 1e6;
    private static final double MAX_NUMBER = 1e9;
    private static final int MAX_WORKERS = 100_000;
    private static final int MAX_DISPATCHERS = 10_000;
    private static final int MAX_RETRIES = 50;

    /** A larger file is none that a person wrote. */
    private static final long MAX_BYTES = 1 << 20;

    private final List<TomlFields.Fault> faults = new ArrayList<>();

    private ScenarioReader() {}

    /** A file of the operator's. */
    public static Scenario read(Path file) throws ScenarioException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new ScenarioException(
                        file.toString(), List.of("is over " + MAX_BYTES + " bytes"));
            }
            return read(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException | InvalidPathException e) {
            throw new ScenarioException(file.toString(), List.of("cannot be read: " + e));
        }
    }

    /**
     * Reads a scenario.
     *
     * @param name for error messages
     * @throws ScenarioException with every fault found in the text
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
        ScenarioReader reader = new ScenarioReader();
        Scenario scenario = reader.scenario(name, new TomlFields(toml, "", reader.faults));
        if (!reader.faults.isEmpty()) {
            reader.faults.sort(Comparator.comparingInt(TomlFields.Fault::line));
            throw new ScenarioException(
                    name, reader.faults.stream().map(TomlFields.Fault::toString).toList());
        }
        return scenario;
    }

    private Scenario scenario(String name, TomlFields root) {
        String title = root.text("title", "");
        TomlFields run = root.table("run");
        double seconds = run.number("seconds", 60, 1, MAX_TIME);
        double cycle = run.number("cycle", seconds, 1, MAX_TIME);
        List<String> clocks =
                run.textList("clocks", List.of("virtual", "real"), List.of("virtual", "real"));
        int dispatchers = run.integer("dispatchers", 1, 1, MAX_DISPATCHERS);
        List<Scenario.WorkerGroup> groups = new ArrayList<>();
        root.tables("workers").forEach(f -> groups.add(group(f)));
        List<String> zones =
                run.textList(
                        "zones",
                        List.of(),
                        groups.stream().map(Scenario.WorkerGroup::zone).distinct().toList());
        boolean peers = run.flag("peers", false);
        if (peers && clocks.contains("virtual")) {
            run.addFault("peers", "need processes: run.clocks must be [\"real\"]");
        }
        run.rejectUnknownKeys();
        Scenario.Limits limits = limits(root.table("limits"));
        List<Scenario.RequestClass> offerings = new ArrayList<>();
        root.tables("offerings").forEach(f -> offerings.add(offering(f)));
        List<Scenario.Tenant> tenants = new ArrayList<>();
        root.tables("tenants").forEach(f -> tenants.add(tenant(f)));
        List<Scenario.LoadPoint> load = new ArrayList<>();
        root.tables("load").forEach(f -> load.add(point(f, cycle)));
        Scenario.Clients clients = clients(root.table("clients"));
        Scenario.Network network = network(root.table("network"));
        Scenario.PlatformTerms terms = terms(root.table("terms"));
        List<Scenario.Fault> events = new ArrayList<>();
        root.tables("faults").forEach(f -> events.add(fault(f, cycle, groups, zones, clocks)));
        Scenario.RandomFaults drawn = drawn(root.table("drawn"), cycle, clocks);
        List<Scenario.Expectation> expectations = expectations(root.table("expect"));
        Map<String, String> overrides = texts(root.table("daemon"));
        Map<String, String> changed = texts(root.table("changed"));
        root.rejectUnknownKeys();
        requireSome(root, "workers", groups.isEmpty());
        requireSome(root, "offerings", offerings.isEmpty());
        requireSome(root, "load", load.isEmpty());
        requireUnique(root, "workers", groups.stream().map(Scenario.WorkerGroup::name).toList());
        requireUnique(
                root, "offerings", offerings.stream().map(Scenario.RequestClass::name).toList());
        requireUnique(root, "tenants", tenants.stream().map(Scenario.Tenant::name).toList());
        for (int i = 1; i < load.size(); i++) {
            if (load.get(i).time() < load.get(i - 1).time()) {
                root.addFault(
                        "load", "has a point before the one above it, at " + load.get(i).time());
            }
        }
        if (groups.stream().mapToInt(Scenario.WorkerGroup::count).sum() > MAX_WORKERS) {
            root.addFault("workers", "are more than " + MAX_WORKERS);
        }
        return new Scenario(
                name,
                title,
                seconds,
                cycle,
                clocks,
                dispatchers,
                zones,
                peers,
                limits,
                groups,
                offerings,
                tenants,
                load,
                clients,
                network,
                terms,
                events,
                drawn,
                expectations,
                overrides,
                changed);
    }

    private static Map<String, String> texts(TomlFields f) {
        Map<String, String> texts = new LinkedHashMap<>();
        for (String key : f.keys()) {
            texts.put(key, f.text(key, ""));
        }
        return texts;
    }

    private static void requireSome(TomlFields root, String key, boolean none) {
        if (none) {
            root.addFault(key, root.contains(key) ? "has none" : "is missing");
        }
    }

    private static void requireUnique(TomlFields root, String key, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                root.addFault(key, "names " + name + " twice");
            }
        }
    }

    private static String name(TomlFields f) {
        String name = f.text("name", null);
        if (!name.isEmpty() && !name.matches("[a-z0-9][a-z0-9-]{0,40}")) {
            f.addFault("name", "is not made of small letters, digits and dashes: " + name);
        }
        return name;
    }

    private static Scenario.WorkerGroup group(TomlFields f) {
        String name = name(f);
        Scenario.WorkerGroup group =
                new Scenario.WorkerGroup(
                        name,
                        f.text("model", name),
                        f.integer("count", 1, 1, MAX_WORKERS),
                        f.integer("slots", 1, 1, 1024),
                        f.number("speed", 1, 0.001, 1000),
                        f.text("zone", "a"),
                        f.integer("queue", 100, 0, 1_000_000),
                        f.number("memory", MAX_NUMBER, 0, MAX_NUMBER),
                        f.number("cold_share", 1, 0.01, 1),
                        f.number("cold_for", 0, 0, MAX_TIME),
                        f.number("tip_multiple", 4, 0.1, 1000),
                        f.number("tip_window", 3, 0.1, 60),
                        f.number("tip_request", 0, 0, MAX_TIME));
        f.rejectUnknownKeys();
        return group;
    }

    private static Scenario.RequestClass offering(TomlFields f) {
        String name = name(f);
        double quoted = f.number("quoted", REQUIRED, 0.001, MAX_TIME);
        Scenario.RequestClass requestClass =
                new Scenario.RequestClass(
                        name,
                        f.enumConstant("effect", Idempotency.IDEMPOTENT, Idempotency.class),
                        f.enumConstant("group", IdempotencyScope.ALL, IdempotencyScope.class),
                        f.number("share", 1, 0, MAX_NUMBER),
                        f.number("work", REQUIRED, Scenario.MIN_WORK, MAX_TIME),
                        f.number("spread", 0.5, 0, 4),
                        f.number("hint_error", 0.3, -1, 4),
                        quoted,
                        f.number("stretch", 0, 0, 1000),
                        f.number("outer", REQUIRED, 0.01, MAX_TIME),
                        f.number("value", 1, 0.001, MAX_NUMBER),
                        f.number("late_value", 0, 0, 1),
                        f.number("window", 20, 0, MAX_TIME),
                        f.integer("slots", 1, 1, 1024),
                        f.number("memory", 0, 0, MAX_NUMBER));
        if (requestClass.deadline() < quoted) {
            f.addFault("outer", "is under quoted: no answer could be late");
        }
        f.rejectUnknownKeys();
        return requestClass;
    }

    private static Scenario.Tenant tenant(TomlFields f) {
        Scenario.Tenant tenant =
                new Scenario.Tenant(
                        name(f),
                        f.number("share", 1, 0.000001, MAX_NUMBER),
                        f.number("quota", 0, 0, MAX_RATE));
        f.rejectUnknownKeys();
        return tenant;
    }

    private static Scenario.LoadPoint point(TomlFields f, double cycle) {
        Scenario.LoadPoint point =
                new Scenario.LoadPoint(
                        f.number("at", 0, 0, cycle), f.number("rate", REQUIRED, 0, MAX_RATE));
        f.rejectUnknownKeys();
        return point;
    }

    private static Scenario.Clients clients(TomlFields f) {
        Scenario.Clients clients =
                new Scenario.Clients(
                        f.integer("retries", 0, 0, MAX_RETRIES),
                        f.number("pause", 0.1, 0, 60),
                        f.number("least_wait", 0.25, 0.01, 60),
                        f.number("impatient", 0, 0, 1),
                        f.number("fresh", 0, 0, 1),
                        f.number("writes", 0, 0, 10));
        f.rejectUnknownKeys();
        return clients;
    }

    private static Scenario.Limits limits(TomlFields f) {
        Scenario.Limits limits =
                new Scenario.Limits(
                        f.integer("memory_mb", 192, 64, 4096),
                        f.integer("sockets", 4096, 96, 65_536));
        f.rejectUnknownKeys();
        return limits;
    }

    private static Scenario.RandomFaults drawn(TomlFields f, double cycle, List<String> clocks) {
        List<Scenario.Kind> open = FaultScheduleGenerator.kinds(!clocks.contains("virtual"));
        List<String> words = open.stream().map(TomlFields::configuredName).toList();
        List<String> kinds = f.textList("kinds", words, words);
        Scenario.RandomFaults drawn =
                new Scenario.RandomFaults(
                        f.integer("faults", 0, 0, 100),
                        f.number(
                                "longest",
                                Math.min(4, cycle / 2),
                                FaultScheduleGenerator.MIN_LENGTH,
                                Math.max(FaultScheduleGenerator.MIN_LENGTH, cycle / 2)),
                        open.stream()
                                .filter(kind -> kinds.contains(TomlFields.configuredName(kind)))
                                .toList());
        f.rejectUnknownKeys();
        return drawn.perCycle() == 0 ? Scenario.RandomFaults.NONE : drawn;
    }

    private static Scenario.Network network(TomlFields f) {
        Scenario.Network network =
                new Scenario.Network(
                        f.number("delay", 0.0005, 0, 10), f.number("jitter", 0.0005, 0, 10));
        f.rejectUnknownKeys();
        return network;
    }

    private static Scenario.PlatformTerms terms(TomlFields f) {
        Scenario.PlatformTerms terms =
                new Scenario.PlatformTerms(
                        f.flag("tells_start", true),
                        f.number("progress_every", 0, 0, 60),
                        f.flag("may_cancel", true),
                        f.flag("may_copy", true),
                        f.integer("most_launches", 3, 1, 50),
                        f.flag("retry_after", true),
                        f.number("longest_retry_after", 2, 0, 60),
                        f.number("list_lag", 0.2, 0, 60),
                        f.number("report_lag", -1, -1, 60),
                        f.number("grace", 2, 0, 60),
                        f.number("connect_limit", 0.25, 0.01, 10),
                        f.number("cross_zone_price", 0, 0, 100),
                        f.number("over_share_value", 1, 0, 1));
        f.rejectUnknownKeys();
        return terms;
    }

    private static Scenario.Fault fault(
            TomlFields f,
            double cycle,
            List<Scenario.WorkerGroup> groups,
            List<String> zones,
            List<String> clocks) {
        Scenario.Kind kind = f.enumConstant("kind", null, Scenario.Kind.class);
        double[] level = levels(kind);
        String group = f.text("group", "");
        if (!group.isEmpty() && groups.stream().noneMatch(g -> g.name().equals(group))) {
            f.addFault("group", "names no group of workers: " + group);
        }
        Scenario.Fault fault =
                new Scenario.Fault(
                        kind,
                        f.number("at", REQUIRED, 0, cycle),
                        f.number("for", REQUIRED, 0.01, MAX_TIME),
                        group,
                        f.number("share", 1, 0, 1),
                        f.number("level", level[0], level[1], level[2]),
                        f.integer("pick", 0, 0, 1000),
                        f.number("within", 0, 0, MAX_TIME),
                        f.enumConstant("to", Scenario.LinkKind.WORKERS, Scenario.LinkKind.class),
                        f.text("zone", ""),
                        f.text("from", ""),
                        f.number("spread", 0, 0, 60),
                        f.enumConstant("how", Scenario.How.USUAL, Scenario.How.class),
                        f.number("others", 1, 0, 1));
        if (fault.end() > cycle) {
            f.addFault("for", "goes on past the end of the cycle, " + cycle + " s");
        }
        if (fault.startSpread() > 0 && !kind.affectsDispatchers()) {
            f.addFault("within", "is for faults of dispatchers only");
        }
        if (f.contains("to") && (!kind.affectsLinks() || kind == Scenario.Kind.LIST_CUT)) {
            f.addFault("to", "is for links only");
        }
        if (kind == Scenario.Kind.LINK_DOUBLE && fault.linkKind() != Scenario.LinkKind.PEERS) {
            f.addFault("kind", "is for ways to peers only: to must be \"peers\"");
        }
        if (!fault.zone().isEmpty() && groups.stream().noneMatch(fault::matches)) {
            f.addFault("zone", "names no zone of those workers: " + fault.zone());
        }
        if (!fault.from().isEmpty()
                && (!kind.affectsDispatchers() || !zones.contains(fault.from()))) {
            f.addFault(
                    "from",
                    kind.affectsDispatchers()
                            ? "is none of run.zones: " + fault.from()
                            : "is for faults of dispatchers only");
        }
        if (!kind.allowedHows().contains(fault.how())) {
            f.addFault(
                    "how",
                    "is no way of "
                            + TomlFields.configuredName(kind)
                            + ": "
                            + TomlFields.configuredName(fault.how()));
        }
        if (kind.needsProcesses() && clocks.contains("virtual")) {
            f.addFault("kind", "needs processes: run.clocks must be [\"real\"]");
        }
        f.rejectUnknownKeys();
        return fault;
    }

    /** The usual level of a fault, its least and its most. */
    static double[] levels(Scenario.Kind kind) {
        return switch (kind) {
            case BURST -> new double[] {1, 0, 1};
            case SLOW -> new double[] {0.3, 0.001, 1};
            case LATE_REPORTS, LIST_LATE -> new double[] {1, 0, 60};
            case DEPLOY -> new double[] {1, 1, 1000};
            case LINK_SLOW -> new double[] {0.1, 0, 60};
            case LINK_LOSS -> new double[] {0.2, 0, 1};
            case LINK_DOUBLE -> new double[] {0.2, 0, 1};
            case LINK_TRICKLE -> new double[] {2000, 100, 1e9};
            case DISPATCHER_STARVE -> new double[] {0.3, 0.05, 1};
            case CROWD -> new double[] {100, 1, 10_000};
            default -> new double[] {1, 0, 1000};
        };
    }

    private static List<Scenario.Expectation> expectations(TomlFields f) {
        List<Scenario.Expectation> all = new ArrayList<>();
        for (String figure : f.keys()) {
            if (!FigureNames.isKnown(figure)) {
                f.addFault(figure, "is no figure of a report; known: " + FigureNames.KNOWN);
                f.table(figure);
                continue;
            }
            TomlFields bounds = f.table(figure);
            double least =
                    bounds.number("least", Double.NEGATIVE_INFINITY, -MAX_NUMBER, MAX_NUMBER);
            double most = bounds.number("most", Double.POSITIVE_INFINITY, -MAX_NUMBER, MAX_NUMBER);
            bounds.rejectUnknownKeys();
            all.add(new Scenario.Expectation(figure, least, most));
        }
        return all;
    }
}
