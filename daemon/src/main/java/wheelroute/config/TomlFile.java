package wheelroute.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * Reads an operator's TOML file and converts it to the path=value pairs of the platform's JSON, so
 * that both are processed alike afterwards. Times in the file are in seconds.
 *
 * <p>In calls that read a number, the arguments after the key are the default, the minimum and the
 * maximum. The bounds only serve to detect mistakes, and no reasonable value is near them.
 */
final class TomlFile {
    /** Passed in place of the default of a number that is required. */
    private static final double REQUIRED = Double.NaN;

    private static final double SECONDS_PER_DAY = 86_400;
    private static final double SECONDS_PER_HOUR = 3600;
    private static final double SECONDS_PER_MINUTE = 60;
    private static final double SECONDS_PER_MILLISECOND = 0.001;
    private static final double MAX_NUMBER = 1e9;
    private static final double MAX_FACTOR = 1000;
    private static final double MIN_FRACTION = 0.001;
    private static final double MIN_IDLE_TIMEOUT_SECONDS = 0.1;
    private static final int MAX_DISPATCHERS = 1_000_000;
    private static final int NO_POSITION = -1;
    private static final int DEFAULT_MEMORY_MEGABYTES = 192;
    private static final int MIN_MEMORY_MEGABYTES = 32;
    private static final int MAX_RESOURCES = 1 << 20;
    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final int DEFAULT_MAX_RETRY_AFTER_SECONDS = 2;

    private final Map<String, String> pairs = new HashMap<>();
    private final List<TomlFields.FieldError> errors = new ArrayList<>();
    private final TomlEndpointList endpoints = new TomlEndpointList();

    private TomlFile() {}

    /**
     * Parses the text of a file.
     *
     * @throws ConfigException with all errors of the file, each with its line
     */
    static ConfigFile parse(String text) throws ConfigException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw new ConfigException(
                    "line " + error.position().line(), "is not valid TOML: " + error.getMessage());
        }
        TomlFile file = new TomlFile();
        file.readRoot(new TomlFields(toml, "", file.errors));
        if (!file.errors.isEmpty()) {
            throw toException(file.errors);
        }
        return new ConfigFile(file.pairs, file.endpoints.toJson());
    }

    /** Returns an exception with the first error by line, followed by the others on a line each. */
    private static ConfigException toException(List<TomlFields.FieldError> errors) {
        List<TomlFields.FieldError> sorted =
                errors.stream()
                        .sorted(Comparator.comparingInt(TomlFields.FieldError::line))
                        .toList();
        TomlFields.FieldError first = sorted.get(0);
        StringBuilder message = new StringBuilder();
        message.append(first.message()).append(" (line ").append(first.line()).append(')');
        for (TomlFields.FieldError error : sorted.subList(1, sorted.size())) {
            message.append("\n  ").append(error);
        }
        return new ConfigException(first.key(), message.toString());
    }

    private void readRoot(TomlFields root) {
        put(ConfigKeys.NAME, root.text("name", "wheelroute"));
        putIfNotEmpty(ConfigKeys.LISTEN, root.text("listen", ""));
        putIfNotEmpty(ConfigKeys.DISCOVERY, root.text("discovery", ""));
        putIfNotEmpty(ConfigKeys.ADMIN, root.text("admin", ""));
        putIfNotEmpty(ConfigKeys.SEED, root.text("seed", ""));
        readLimits(root.table("limits"));
        WireSettingsWriter settings = new WireSettingsWriter();
        settings.text(ConfigKeys.ZONE, root.text("zone", ""))
                .number(ConfigKeys.DISPATCHERS, root.integer("dispatchers", 1, 1, MAX_DISPATCHERS))
                .number(
                        ConfigKeys.POSITION,
                        root.integer("position", NO_POSITION, NO_POSITION, MAX_DISPATCHERS));
        readTerms(root.table("terms"), settings);
        readSlowStart(root.table("cold"), settings);
        for (TomlFields requestClass : root.tables("offerings")) {
            settings.requestClass(readRequestClass(requestClass));
        }
        for (TomlFields tenant : root.tables("tenants")) {
            readTenant(tenant, settings);
        }
        readPeers(root.table("peers"));
        for (TomlFields worker : root.tables("workers")) {
            endpoints.add(worker);
        }
        settings.pairs().forEach((path, value) -> put(ConfigKeys.SETTINGS_PREFIX + path, value));
        root.rejectUnknownKeys();
    }

    private void readLimits(TomlFields limits) {
        put(
                ConfigKeys.MAX_MEMORY_MEGABYTES,
                limits.number(
                        "memory_mb",
                        DEFAULT_MEMORY_MEGABYTES,
                        MIN_MEMORY_MEGABYTES,
                        MAX_RESOURCES));
        put(
                ConfigKeys.MAX_DESCRIPTORS,
                limits.number(
                        "sockets",
                        ConfigDefaults.DESCRIPTORS,
                        ConfigDefaults.MIN_DESCRIPTORS,
                        MAX_RESOURCES));
        limits.rejectUnknownKeys();
    }

    private static RequestClassSettings readRequestClass(TomlFields fields) {
        RequestClassSettings settings =
                new RequestClassSettings(
                        fields.text("name", null),
                        fields.enumConstant(
                                "effect", Idempotency.NON_IDEMPOTENT, Idempotency.class),
                        fields.enumConstant("group", IdempotencyScope.CELL, IdempotencyScope.class),
                        fields.number("quoted", REQUIRED, 0, SECONDS_PER_DAY),
                        fields.number("stretch", 0, 0, MAX_FACTOR),
                        fields.number(
                                "outer",
                                ConfigDefaults.DEADLINE_SECONDS,
                                SECONDS_PER_MILLISECOND,
                                SECONDS_PER_DAY),
                        fields.number("value", 1, 0, MAX_NUMBER),
                        fields.number("late_value", 0, 0, 1),
                        fields.number("window", 0, 0, SECONDS_PER_DAY),
                        fields.flag("in_turn", false));
        fields.rejectUnknownKeys();
        return settings;
    }

    private static void readTenant(TomlFields tenant, WireSettingsWriter settings) {
        settings.tenant(tenant.text("name", null), tenant.number("quota", 0, 0, MAX_NUMBER));
        tenant.rejectUnknownKeys();
    }

    private void readPeers(TomlFields peers) {
        putIfNotEmpty(ConfigKeys.PEERING_LISTEN, peers.text("listen", ""));
        putIfNotEmpty(ConfigKeys.PEERING_CLUSTER, peers.text("cluster", ""));
        List<String> addresses = peers.anyTextList("addresses");
        putIfNotEmpty(ConfigKeys.PEERING_ADDRESSES, String.join(",", addresses));
        if (peers.contains("listen") == addresses.isEmpty()) {
            peers.addError("listen", "and addresses must be given together");
        }
        peers.rejectUnknownKeys();
    }

    private static void readTerms(TomlFields fields, WireSettingsWriter settings) {
        settings.flag(ConfigKeys.REPORTS_START, fields.flag("tells_start", true))
                .seconds(
                        ConfigKeys.PROGRESS_INTERVAL,
                        fields.number("progress_every", 0, 0, SECONDS_PER_MINUTE))
                .flag(ConfigKeys.MAY_CANCEL, fields.flag("may_cancel", true))
                .flag(ConfigKeys.MAY_HEDGE, fields.flag("may_copy", false))
                .number(
                        ConfigKeys.MAX_ATTEMPTS,
                        fields.integer("most_launches", DEFAULT_MAX_ATTEMPTS, 1, (int) MAX_FACTOR))
                .flag(ConfigKeys.SENDS_RETRY_AFTER, fields.flag("retry_after", true))
                .seconds(
                        ConfigKeys.MAX_RETRY_AFTER,
                        fields.number(
                                "longest_retry_after",
                                DEFAULT_MAX_RETRY_AFTER_SECONDS,
                                0,
                                SECONDS_PER_HOUR));
        readConnectionTimeouts(fields, settings);
        settings.number(
                        ConfigKeys.CROSS_ZONE_PRICE,
                        fields.number("cross_zone_price", 0, 0, MAX_FACTOR))
                .number(ConfigKeys.OVER_QUOTA_VALUE, fields.number("over_share_value", 1, 0, 1))
                .flag(ConfigKeys.REMOVAL_IS_ADVISORY, fields.flag("gone_is_advice", false))
                .seconds(
                        ConfigKeys.KEY_QUIET_PERIOD,
                        fields.number("key_rest", 0, 0, SECONDS_PER_HOUR));
        if (fields.flag("reports_free_slots", false)) {
            settings.text(ConfigKeys.LOAD_REPORT_FIELD, SettingsVocabulary.REPORTS_FREE_SLOTS);
        }
        fields.rejectUnknownKeys();
    }

    private static void readConnectionTimeouts(TomlFields fields, WireSettingsWriter settings) {
        settings.seconds(
                        ConfigKeys.CONNECT_TIMEOUT,
                        fields.number(
                                "connect_limit",
                                ConfigDefaults.CONNECT_TIMEOUT_SECONDS,
                                SECONDS_PER_MILLISECOND,
                                SECONDS_PER_MINUTE))
                .seconds(
                        ConfigKeys.IDLE_TIMEOUT,
                        fields.number(
                                "idle_limit",
                                ConfigDefaults.IDLE_TIMEOUT_SECONDS,
                                MIN_IDLE_TIMEOUT_SECONDS,
                                SECONDS_PER_DAY));
    }

    private static void readSlowStart(TomlFields fields, WireSettingsWriter settings) {
        settings.number(ConfigKeys.SLOW_START_SHARE, fields.number("share", 1, MIN_FRACTION, 1))
                .seconds(
                        ConfigKeys.SLOW_START_DURATION, fields.number("for", 0, 0, SECONDS_PER_DAY))
                .number(
                        ConfigKeys.OVERLOAD_MULTIPLE,
                        fields.number("tip_multiple", 1, MIN_FRACTION, MAX_FACTOR))
                .seconds(
                        ConfigKeys.OVERLOAD_WINDOW,
                        fields.number("tip_window", 0, 0, SECONDS_PER_HOUR));
        fields.rejectUnknownKeys();
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
