package wheelroute.config;

/** Defaults and bounds that JSON and TOML files have in common. */
final class ConfigDefaults {
    static final int DESCRIPTORS = 1024;

    /**
     * The runtime alone needs some 30 descriptors; with fewer than this, no request can be served.
     */
    static final int MIN_DESCRIPTORS = 64;

    static final double CONNECT_TIMEOUT_SECONDS = 0.25;
    static final double IDLE_TIMEOUT_SECONDS = 30;
    static final double DEADLINE_SECONDS = 30;

    private ConfigDefaults() {}
}
