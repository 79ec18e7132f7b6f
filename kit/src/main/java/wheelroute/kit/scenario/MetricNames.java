package wheelroute.kit.scenario;

/** Names of the metrics in a run's report, for which scenarios may set bounds. */
public final class MetricNames {
    /** Value earned divided by value requested, from 0 to 1. */
    public static final String SERVICE = "service";

    public static final String IN_TIME = "in_time";
    public static final String REJECTED = "bounced";
    public static final String FAILED = "scrapped";
    public static final String UNANSWERED = "unanswered";
    public static final String BREACHES = "breaches";

    /** Number of attempts divided by number of requests. */
    public static final String ATTEMPTS = "launches_per_submission";

    public static final String P50 = "p50";
    public static final String P99 = "p99";
    public static final String P999 = "p999";

    /** The highest number of calls by all dispatchers to discovery within one second. */
    public static final String MAX_DISCOVERY_CALLS = "list_calls_most";

    /** The fraction of the dispatchers' metrics that were wrong or missing. */
    public static final String MISMATCHED_METRICS = "figures_untrue";

    /** The fraction of calls to admin servers that timed out. */
    public static final String ADMIN_CALL_TIMEOUTS = "doors_late";

    /** The number of replacements of dispatcher processes that were not complete in time. */
    public static final String FAILED_REPLACEMENTS = "not_replaced";

    /** The number of dispatchers with a wrong list of alive members when the requests end. */
    public static final String PEERS_NOT_CONVERGED = "peers_wrong";

    /** Prefix of the service of one request class; the name of the class follows. */
    public static final String REQUEST_CLASS = "offering:";

    /** Prefix of the service of one tenant; the name of the tenant follows. */
    public static final String TENANT = "tenant:";

    static final String KNOWN =
            String.join(
                    ", ",
                    SERVICE,
                    IN_TIME,
                    REJECTED,
                    FAILED,
                    UNANSWERED,
                    BREACHES,
                    ATTEMPTS,
                    P50,
                    P99,
                    P999,
                    MAX_DISCOVERY_CALLS,
                    MISMATCHED_METRICS,
                    ADMIN_CALL_TIMEOUTS,
                    FAILED_REPLACEMENTS,
                    PEERS_NOT_CONVERGED,
                    REQUEST_CLASS + "NAME",
                    TENANT + "NAME");

    private MetricNames() {}

    static boolean isKnown(String name) {
        return switch (name) {
            case SERVICE,
                    IN_TIME,
                    REJECTED,
                    FAILED,
                    UNANSWERED,
                    BREACHES,
                    ATTEMPTS,
                    P50,
                    P99,
                    P999,
                    MAX_DISCOVERY_CALLS,
                    MISMATCHED_METRICS,
                    ADMIN_CALL_TIMEOUTS,
                    FAILED_REPLACEMENTS,
                    PEERS_NOT_CONVERGED ->
                    true;
            default -> name.startsWith(REQUEST_CLASS) || name.startsWith(TENANT);
        };
    }
}
