package wheelroute.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * Reads an operator's TOML file and converts it to the pairs that the platform's JSON has, so that
 * both are processed alike from there on. Times in the file are in seconds.
 */
final class TomlFile {
    private static final double REQUIRED = Double.NaN;
    private static final double MAX_DURATION = 86_400;
    private static final double MAX_NUMBER = 1e9;
    private static final int MAX_DISPATCHERS = 1_000_000;
    private static final int MAX_LIMIT = 1 << 20;
    private static final int MAX_CELL = 1 << 30;

    /** Texts that need no escapes in JSON; names may not have spaces either. */
    private static final Pattern PLAIN_TEXT = Pattern.compile("[ -~&&[^\"\\\\]]*");

    private static final Pattern PLAIN_NAME = Pattern.compile("[!-~&&[^\"\\\\]]*");

    private final Map<String, String> pairs = new HashMap<>();
    private final List<TomlFields.Fault> faults = new ArrayList<>();
    private final List<String> endpoints = new ArrayList<>();

    private TomlFile() {}

    /**
     * Parses the text of a file.
     *
     * @throws ConfigException with all faults of the file, each with its line
     */
    static ConfigFile parse(String text) throws ConfigException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw new ConfigException(
                    "line " + error.position().line(), "is no TOML: " + error.getMessage());
        }
        TomlFile file = new TomlFile();
        file.readRoot(new TomlFields(toml, "", file.faults));
        if (!file.faults.isEmpty()) {
            throw exceptionOf(file.faults);
        }
        return new ConfigFile(file.pairs, file.cachedEndpoints());
    }

    /** The first fault by line, followed by the others on a line each. */
    private static ConfigException exceptionOf(List<TomlFields.Fault> faults) {
        List<TomlFields.Fault> sorted =
                faults.stream().sorted(Comparator.comparingInt(TomlFields.Fault::line)).toList();
        TomlFields.Fault first = sorted.get(0);
        StringBuilder message = new StringBuilder();
        message.append(first.message()).append(" (line ").append(first.line()).append(')');
        for (TomlFields.Fault fault : sorted.subList(1, sorted.size())) {
            message.append("\n  ").append(fault);
        }
        return new ConfigException(first.key(), message.toString());
    }

    /** The workers of the file as an endpoint list in discovery's form; null for none. */
    private byte[] cachedEndpoints() {
        if (endpoints.isEmpty()) {
            return null;
        }
        String list =
                "{\"version\":0,\"full\":true,\"servers\":[" + String.join(",", endpoints) + "]}";
        return list.getBytes(StandardCharsets.UTF_8);
    }

    private void readRoot(TomlFields root) {
        put("name", root.text("name", "wheelroute"));
        putIfNotEmpty("listen", root.text("listen", ""));
        putIfNotEmpty("discovery", root.text("discovery", ""));
        putIfNotEmpty("admin", root.text("admin", ""));
        putIfNotEmpty("seed", root.text("seed", ""));
        readLimits(root.table("limits"));
        WireSettingsWriter settings =
                new WireSettingsWriter()
                        .text("az", root.text("zone", ""))
                        .number("balancers", root.integer("dispatchers", 1, 1, MAX_DISPATCHERS))
                        .number("position", root.integer("position", -1, -1, MAX_DISPATCHERS));
        readTerms(root.table("terms"), settings);
        readSlowStart(root.table("cold"), settings);
        for (TomlFields requestClass : root.tables("offerings")) {
            settings.requestClass(readRequestClass(requestClass));
        }
        for (TomlFields tenant : root.tables("tenants")) {
            settings.tenant(tenant.text("name", null), tenant.number("quota", 0, 0, MAX_NUMBER));
            tenant.rejectUnknownKeys();
        }
        readPeers(root.table("peers"));
        for (TomlFields worker : root.tables("workers")) {
            endpoints.add(readEndpoint(worker));
        }
        settings.pairs().forEach((path, value) -> put("settings." + path, value));
        root.rejectUnknownKeys();
    }

    private void readLimits(TomlFields limits) {
        put("limits.memory_mb", limits.number("memory_mb", 192, 32, MAX_LIMIT));
        put("limits.sockets", limits.number("sockets", 1024, 64, MAX_LIMIT));
        limits.rejectUnknownKeys();
    }

    private static RequestClassSettings readRequestClass(TomlFields fields) {
        RequestClassSettings settings =
                new RequestClassSettings(
                        fields.text("name", null),
                        fields.enumConstant(
                                "effect", Idempotency.NON_IDEMPOTENT, Idempotency.class),
                        fields.enumConstant("group", IdempotencyScope.CELL, IdempotencyScope.class),
                        fields.number("quoted", REQUIRED, 0, MAX_DURATION),
                        fields.number("stretch", 0, 0, 1000),
                        fields.number("outer", 30, 0.001, MAX_DURATION),
                        fields.number("value", 1, 0, MAX_NUMBER),
                        fields.number("late_value", 0, 0, 1),
                        fields.number("window", 0, 0, MAX_DURATION),
                        fields.flag("in_turn", false));
        fields.rejectUnknownKeys();
        return settings;
    }

    private void readPeers(TomlFields peers) {
        putIfNotEmpty("peering.listen", peers.text("listen", ""));
        putIfNotEmpty("peering.cluster", peers.text("cluster", ""));
        List<String> addresses = peers.anyTextList("addresses");
        putIfNotEmpty("peering.addresses", String.join(",", addresses));
        if (peers.contains("listen") == addresses.isEmpty()) {
            peers.addFault("listen", "and addresses go together");
        }
        peers.rejectUnknownKeys();
    }

    private static void readTerms(TomlFields fields, WireSettingsWriter settings) {
        settings.flag("family_info.tells_start", fields.flag("tells_start", true))
                .seconds("family_info.progress_us", fields.number("progress_every", 0, 0, 60))
                .flag("permissions.cancel", fields.flag("may_cancel", true))
                .flag("permissions.may_duplicate", fields.flag("may_copy", false))
                .number("permissions.most_tries", fields.integer("most_launches", 3, 1, 1000))
                .flag("permissions.retry_after", fields.flag("retry_after", true))
                .seconds(
                        "permissions.max_retry_after_us",
                        fields.number("longest_retry_after", 2, 0, 3600))
                .seconds(
                        "permissions.connect_timeout_us",
                        fields.number("connect_limit", 0.25, 0.001, 60))
                .seconds(
                        "permissions.conn_idle_us",
                        fields.number("idle_limit", 30, 0.1, MAX_DURATION))
                .number("prices.cross_zone", fields.number("cross_zone_price", 0, 0, 1000))
                .number("over_share_worth", fields.number("over_share_value", 1, 0, 1))
                .flag("rules.gone_is_advice", fields.flag("gone_is_advice", false))
                .seconds("rules.key_rest_us", fields.number("key_rest", 0, 0, 3600));
        if (fields.flag("reports_free_slots", false)) {
            settings.text("family_info.report_x0", "free_slots");
        }
        fields.rejectUnknownKeys();
    }

    private static void readSlowStart(TomlFields fields, WireSettingsWriter settings) {
        settings.number("rules.cold_from", fields.number("share", 1, 0.001, 1))
                .seconds("rules.cold_us", fields.number("for", 0, 0, MAX_DURATION))
                .number("rules.tip_multiple", fields.number("tip_multiple", 1, 0.001, 1000))
                .seconds("rules.fall_us", fields.number("tip_window", 0, 0, 3600));
        fields.rejectUnknownKeys();
    }

    /** One entry of an endpoint list in discovery's form. */
    private static String readEndpoint(TomlFields worker) {
        String name = worker.text("name", null);
        String address = worker.text("address", null);
        if (!PLAIN_NAME.matcher(name).matches()) {
            worker.addFault("name", "has a character that no id may have: " + name);
        }
        if (!address.isEmpty() && SocketAddresses.parse(address) == null) {
            worker.addFault("address", "is not host:port: " + address);
        }
        String zone = worker.text("zone", "");
        String model = worker.text("model", "");
        for (String text : List.of(address, zone, model)) {
            if (!PLAIN_TEXT.matcher(text).matches()) {
                worker.addFault(
                        "name", "has a zone, model or address that is no plain text: " + text);
            }
        }
        int cell = worker.integer("cell", 0, 0, MAX_CELL);
        double weight = worker.number("weight", 1, 0.000001, MAX_NUMBER);
        worker.rejectUnknownKeys();
        return ("{\"id\":\"" + name + "\",\"addr\":\"" + address + "\"")
                + (",\"zone\":\"" + zone + "\",\"kind\":\"" + model + "\",\"cell\":" + cell)
                + (",\"state\":\"ready\",\"weight\":" + weight + "}");
    }

    private void put(String path, String value) {
        pairs.put(path, value);
    }

    private void put(String path, double value) {
        put(path, Double.toString(value));
    }

    private void putIfNotEmpty(String path, String value) {
        if (!value.isEmpty()) {
            put(path, value);
        }
    }
}
