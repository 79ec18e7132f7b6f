package wheelroute.config;

/**
 * The names of environment variables and configuration keys, kept in one place. Each constant is
 * named by this program's own term for the key. {@link TomlFile} has the keys of operators' TOML
 * files and converts them to these keys.
 *
 * <p>The names are part of the interface to the platform and must not change. Values of keys that
 * end with {@code _us} are in microseconds.
 */
final class ConfigKeys {
    private ConfigKeys() {}

    static final String CONFIG_FILE_VARIABLE = "LB_CONFIG";
    static final String NAME_VARIABLE = "LB_NAME";
    static final String LISTEN_VARIABLE = "LB_LISTEN";
    static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";
    static final String ADMIN_VARIABLE = "LB_ADMIN";
    static final String HANDOVER_DIRECTORY_VARIABLE = "TMPDIR";

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

    /** Prefix of all keys of settings in the file. The simulator's wire has the keys without it. */
    static final String SETTINGS_PREFIX = "settings.";

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

    static final String REQUEST_CLASSES = "request_classes";
    static final String TENANTS = "tenants";

    /**
     * Suffix that turns the key of a list into the key of the number of its items. The keys of an
     * item begin with {@link #itemPrefix}.
     */
    static final String COUNT_SUFFIX = ".count";

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

    static final String TENANT_NAME = "name";
    static final String TENANT_QUOTA = "quota_per_s";

    /** Returns the prefix of the keys of the list item with this index, from 0. */
    static String itemPrefix(String list, int index) {
        return list + "." + index + ".";
    }
}
