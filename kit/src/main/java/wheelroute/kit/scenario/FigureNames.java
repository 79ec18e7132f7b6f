package wheelroute.kit.scenario;

/** The names of a report's figures, of which scenarios may expect bounds. */
public final class FigureNames {
    /** Value earned over value requested, from 0 to 1. */
    public static final String SERVICE = "service";

    public static final String IN_TIME = "in_time";
    public static final String REJECTED = "bounced";
    public static final String FAILED = "scrapped";
    public static final String UNANSWERED = "unanswered";
    public static final String BREACHES = "breaches";

    /** Attempts over requests. */
    public static final String ATTEMPTS = "launches_per_submission";

    public static final String P50 = "p50";
    public static final String P99 = "p99";
    public static final String P999 = "p999";

    /** The most calls to discovery within one second, by all dispatchers. */
    public static final String MAX_DISCOVERY_CALLS = "list_calls_most";

    /** The fraction of dispatchers' metrics that were wrong or missing. */
    public static final String MISMATCHED_METRICS = "figures_untrue";

    /** The fraction of calls to admin servers that timed out. */
    public static final String ADMIN_CALL_TIMEOUTS = "doors_late";

    /** Replacements of dispatchers' processes that were not complete in time. */
    public static final String FAILED_REPLACEMENTS = "not_replaced";

    /** Dispatchers whose list of alive members is wrong at the end of the requests. */
    public static final String PEERS_NOT_CONVERGED = "peers_wrong";

    /** The service of one request class or tenant: the name follows. */
    public static final String REQUEST_CLASS = "offering:";

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

    private FigureNames() {}

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
