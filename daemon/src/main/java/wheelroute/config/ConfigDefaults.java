package wheelroute.config;

/** Default values and bounds that apply to both JSON and TOML files. */
final class ConfigDefaults {
    static final int DESCRIPTORS = 1024;

    /**
     * Lower bound of the descriptor limit. The Java runtime alone needs about 30 descriptors, and
     * with fewer than 64 no request can be served.
     */
    static final int MIN_DESCRIPTORS = 64;

    static final double CONNECT_TIMEOUT_SECONDS = 0.25;
    static final double IDLE_TIMEOUT_SECONDS = 30;
    static final double DEADLINE_SECONDS = 30;

    private ConfigDefaults() {}
}
