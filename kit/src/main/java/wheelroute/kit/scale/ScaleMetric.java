package wheelroute.kit.scale;

/** Metrics that a scale run measures once, at its largest number of dispatchers. */
public enum ScaleMetric {
    /** Time after the downtime of discovery until the last dispatcher has the current list. */
    DISCOVERY_RECOVERY_SECONDS("list_restart_worst_s"),
    DISCOVERY_RECOVERY_CALLS("list_restart_calls"),
    PROCESS_CALLS_PER_SECOND("real_calls_per_s"),
    IN_PROCESS_CALLS_PER_SECOND("hollow_calls_per_s"),
    PROCESS_TIME_TO_IN_FORCE_P50_SECONDS("real_in_force_p50_s"),
    IN_PROCESS_TIME_TO_IN_FORCE_P50_SECONDS("hollow_in_force_p50_s");

    private final String key;

    ScaleMetric(String key) {
        this.key = key;
    }

    /** Returns the name of the metric in the results file. */
    public String key() {
        return key;
    }
}
