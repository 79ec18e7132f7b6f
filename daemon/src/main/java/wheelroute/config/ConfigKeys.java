package wheelroute.config;

/**
 * The names of environment variables and configuration keys, each under our own term. This is the
 * only place that has them, apart from the keys of the operator's TOML, which {@link TomlFile}
 * converts to these. The names are part of the interface to the platform and must not change.
 */
final class ConfigKeys {
    private ConfigKeys() {}

    // ---- environment variables

    static final String CONFIG_FILE_VARIABLE = "LB_CONFIG";
    static final String NAME_VARIABLE = "LB_NAME";
    static final String LISTEN_VARIABLE = "LB_LISTEN";
    static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";
    static final String ADMIN_VARIABLE = "LB_ADMIN";
    static final String HANDOVER_DIRECTORY_VARIABLE = "TMPDIR";

    // ---- keys of the file

    static final String NAME = "name";
    static final String LISTEN = "listen";
    static final String DISCOVERY = "discovery";
    static final String ADMIN = "admin";
    static final String SEED = "seed";
    static final String CACHED_ENDPOINTS = "known";
    static final String MAX_DESCRIPTORS = "limits.sockets";
    static final String MAX_MEMORY_MEGABYTES = "limits.memory_mb";
    static final String PEERING = "peering";
    static final String PEERING_LISTEN = "peering.listen";
    static final String PEERING_ADDRESSES = "peering.addresses";
    static final String PEERING_CLUSTER = "peering.cluster";

    /** Before each of the keys below, in the file but not on the simulator's wire. */
    static final String SETTINGS_PREFIX = "settings.";

    // ---- keys of the settings; those that end with _us are in microseconds

    static final String ZONE = "az";
    static final String DISPATCHERS = "balancers";
    static final String POSITION = "position";
    static final String TIME_RESOLUTION = "round_us";
    static final String OVER_QUOTA_VALUE = "over_share_worth";
    static final String ENDPOINT_LIST_MODE = "membership_mode";
    static final String MODELS = "models";
    static final String REPORTS_START = "family_info.tells_start";
    static final String PROGRESS_INTERVAL = "family_info.progress_us";
    static final String LOAD_REPORT_FIELD = "family_info.report_x0";
    static final String CLASS_OBJECTIVES_PER_WORK = "family_info.class_stretch";
    static final String CLASS_MODELS = "family_info.class_kind";
    static final String MAY_CANCEL = "permissions.cancel";
    static final String MAY_HEDGE = "permissions.may_duplicate";
    static final String SENDS_RETRY_AFTER = "permissions.retry_after";
    static final String MAX_RETRY_AFTER = "permissions.max_retry_after_us";
    static final String MAX_ATTEMPTS = "permissions.most_tries";
    static final String CONNECT_TIMEOUT = "permissions.connect_timeout_us";
    static final String IDLE_TIMEOUT = "permissions.conn_idle_us";
    static final String SLOW_START_SHARE = "rules.cold_from";
    static final String SLOW_START_DURATION = "rules.cold_us";
    static final String OVERLOAD_MULTIPLE = "rules.tip_multiple";
    static final String OVERLOAD_WINDOW = "rules.fall_us";
    static final String REMOVAL_IS_ADVISORY = "rules.gone_is_advice";
    static final String KEY_QUIET_PERIOD = "rules.key_rest_us";
    static final String DRAIN_GRACE = "rules.stop_sending_within_us";
    static final String CROSS_ZONE_PRICE = "prices.cross_zone";
    static final String CACHE_MISS_PRICE = "prices.origin";

    // ---- keys of lists of the settings: a count, and a prefix with an index before each item's
    // key

    static final String REQUEST_CLASSES = "request_classes";
    static final String TENANTS = "tenants";
    static final String COUNT = ".count";

    // ---- keys of a request class

    static final String CLASS_NAME = "name";
    static final String CLASS_IDEMPOTENCY = "effect";
    static final String CLASS_IDEMPOTENCY_SCOPE = "group";
    static final String CLASS_LATENCY_OBJECTIVE = "on_time_us";
    static final String CLASS_OBJECTIVE_PER_WORK = "aim_stretch";
    static final String CLASS_DEADLINE = "hard_limit_us";
    static final String CLASS_PRIORITY_WEIGHT = "worth";
    static final String CLASS_LATE_VALUE = "late_value";
    static final String CLASS_IDEMPOTENCY_WINDOW = "window_us";
    static final String CLASS_ORDERED = "one_at_a_time";

    // ---- keys of a tenant

    static final String TENANT_NAME = "name";
    static final String TENANT_QUOTA = "quota_per_s";

    /** Returns the prefix of the keys of a list's item. */
    static String itemPrefix(String list, int index) {
        return list + "." + index + ".";
    }
}
