package wheelroute.kit.scenario;

/** The names of a report's figures, as scenarios may expect them and matrices compare them. */
public final class FigureNames {
    /** Value earned over value asked, from 0 to 1. */
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

    /** Calls to the list service in the second in which there were most, by all dispatchers. */
    public static final String MAX_DISCOVERY_CALLS = "list_calls_most";

    /** Of the operators' figures the part that was not true, or missing. */
    public static final String MISMATCHED_METRICS = "figures_untrue";

    /** Of the calls at admin servers the part that was not answered within a second. */
    public static final String ADMIN_CALL_TIMEOUTS = "doors_late";

    /** Replacements that were not through in time. */
    public static final String FAILED_REPLACEMENTS = "not_replaced";

    /** Dispatchers that do not hold just those to be there that are, as the requests end. */
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
