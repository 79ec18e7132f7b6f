package wheelroute.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * An operator's own file: house words, seconds, comments. It becomes the same pairs as the
 * platform's JSON, so that everything after it is one way. Loaded only where such a file is given:
 * `run` has none.
 */
final class TomlFile {
    private static final double REQUIRED = Double.NaN;
    private static final double MOST_TIME = 86_400;
    private static final double MOST = 1e9;

    private final Map<String, String> pairs = new HashMap<>();
    private final List<TomlFields.Fault> faults = new ArrayList<>();
    private final StringBuilder workers = new StringBuilder();

    private TomlFile() {}

    /** What the file holds, flat, and its list of workers in discovery's form; null for none. */
    record Read(Map<String, String> pairs, byte[] known) {}

    static Read read(String text) throws ConfigException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            var error = toml.errors().get(0);
            throw new ConfigException(
                    "line " + error.position().line(), "is no TOML: " + error.getMessage());
        }
        TomlFile file = new TomlFile();
        file.root(new TomlFields(toml, "", file.faults));
        if (!file.faults.isEmpty()) {
            file.faults.sort(Comparator.comparingInt(TomlFields.Fault::line));
            TomlFields.Fault first = file.faults.get(0);
            String more =
                    file.faults.size() == 1
                            ? ""
                            : "\n  "
                                    + String.join(
                                            "\n  ",
                                            file.faults.stream()
                                                    .skip(1)
                                                    .map(TomlFields.Fault::toString)
                                                    .toList());
            throw new ConfigException(
                    first.key(), first.what() + " (line " + first.line() + ")" + more);
        }
        byte[] known =
                file.workers.isEmpty()
                        ? null
                        : ("{\"version\":0,\"full\":true,\"servers\":[" + file.workers + "]}")
                                .getBytes(StandardCharsets.UTF_8);
        return new Read(file.pairs, known);
    }

    private void root(TomlFields root) {
        put("name", root.text("name", "wheelroute"));
        optional("listen", root.text("listen", ""));
        optional("discovery", root.text("discovery", ""));
        optional("admin", root.text("admin", ""));
        optional("seed", root.text("seed", ""));
        TomlFields limits = root.table("limits");
        put("limits.memory_mb", limits.number("memory_mb", 192, 32, 1 << 20));
        put("limits.sockets", limits.number("sockets", 1024, 64, 1 << 20));
        limits.done();
        WireSettingsWriter settings =
                new WireSettingsWriter()
                        .text("az", root.text("zone", ""))
                        .number("balancers", root.whole("dispatchers", 1, 1, 1_000_000))
                        .number("position", root.whole("position", -1, -1, 1_000_000));
        terms(root.table("terms"), settings);
        cold(root.table("cold"), settings);
        for (TomlFields f : root.tables("offerings")) {
            settings.offering(
                    f.text("name", null),
                    f.oneOf("effect", Idempotency.NON_IDEMPOTENT, Idempotency.class),
                    f.oneOf("group", IdempotencyScope.CELL, IdempotencyScope.class),
                    f.number("quoted", REQUIRED, 0, MOST_TIME),
                    f.number("stretch", 0, 0, 1000),
                    f.number("outer", 30, 0.001, MOST_TIME),
                    f.number("value", 1, 0, MOST),
                    f.number("late_value", 0, 0, 1),
                    f.number("window", 0, 0, MOST_TIME),
                    f.flag("in_turn", false));
            f.done();
        }
        for (TomlFields f : root.tables("tenants")) {
            settings.tenant(f.text("name", null), f.number("quota", 0, 0, MOST));
            f.done();
        }
        peers(root.table("peers"));
        root.tables("workers").forEach(this::worker);
        settings.pairs().forEach((path, value) -> put("settings." + path, value));
        root.done();
    }

    private void peers(TomlFields f) {
        optional("peering.listen", f.text("listen", ""));
        optional("peering.cluster", f.text("cluster", ""));
        List<String> addresses = f.anyTexts("addresses");
        optional("peering.addresses", String.join(",", addresses));
        if (f.has("listen") == addresses.isEmpty()) {
            f.fault("listen", "and addresses go together");
        }
        f.done();
    }

    private static void terms(TomlFields f, WireSettingsWriter settings) {
        settings.flag("family_info.tells_start", f.flag("tells_start", true))
                .seconds("family_info.progress_us", f.number("progress_every", 0, 0, 60))
                .flag("permissions.cancel", f.flag("may_cancel", true))
                .flag("permissions.may_duplicate", f.flag("may_copy", false))
                .number("permissions.most_tries", f.whole("most_launches", 3, 1, 1000))
                .flag("permissions.retry_after", f.flag("retry_after", true))
                .seconds(
                        "permissions.max_retry_after_us",
                        f.number("longest_retry_after", 2, 0, 3600))
                .seconds(
                        "permissions.connect_timeout_us",
                        f.number("connect_limit", 0.25, 0.001, 60))
                .seconds("permissions.conn_idle_us", f.number("idle_limit", 30, 0.1, MOST_TIME))
                .number("prices.cross_zone", f.number("cross_zone_price", 0, 0, 1000))
                .number("over_share_worth", f.number("over_share_value", 1, 0, 1))
                .flag("rules.gone_is_advice", f.flag("gone_is_advice", false))
                .seconds("rules.key_rest_us", f.number("key_rest", 0, 0, 3600));
        if (f.flag("reports_free_slots", false)) {
            settings.text("family_info.report_x0", "free_slots");
        }
        f.done();
    }

    private static void cold(TomlFields f, WireSettingsWriter settings) {
        settings.number("rules.cold_from", f.number("share", 1, 0.001, 1))
                .seconds("rules.cold_us", f.number("for", 0, 0, MOST_TIME))
                .number("rules.tip_multiple", f.number("tip_multiple", 1, 0.001, 1000))
                .seconds("rules.fall_us", f.number("tip_window", 0, 0, 3600));
        f.done();
    }

    private void worker(TomlFields f) {
        String name = f.text("name", null);
        String address = f.text("address", null);
        if (!name.matches("[!-~&&[^\"\\\\]]*")) {
            f.fault("name", "has a character that no id may have: " + name);
        }
        if (!address.isEmpty() && ConfigReader.parse(address) == null) {
            f.fault("address", "is not host:port: " + address);
        }
        String zone = f.text("zone", "");
        String model = f.text("model", "");
        for (String text : List.of(address, zone, model)) {
            if (!text.matches("[ -~&&[^\"\\\\]]*")) {
                f.fault("name", "has a zone, model or address that is no plain text: " + text);
            }
        }
        workers.append(workers.isEmpty() ? "" : ",")
                .append("{\"id\":\"")
                .append(name)
                .append("\",\"addr\":\"")
                .append(address)
                .append("\",\"zone\":\"")
                .append(zone)
                .append("\",\"kind\":\"")
                .append(model)
                .append("\",\"cell\":")
                .append(f.whole("cell", 0, 0, 1 << 30))
                .append(",\"state\":\"ready\",\"weight\":")
                .append(f.number("weight", 1, 0.000001, MOST))
                .append('}');
        f.done();
    }

    private void put(String path, String value) {
        pairs.put(path, value);
    }

    private void put(String path, double value) {
        put(path, Double.toString(value));
    }

    private void optional(String path, String value) {
        if (!value.isEmpty()) {
            put(path, value);
        }
    }
}
