package wheelroute.kit.scale;

/**
 * The measured series to which a scale run fits lines. Each series is one quantity, measured at
 * several sizes of one dimension. The keys are the names in the results file.
 */
public enum ScaleSeries {
    IDLE_CPU("rest_cpu_by_workers", "workers", "cores"),
    ATTEMPT_CPU("launch_cpu_by_workers", "workers", "CPU s per attempt, after warm-up"),
    FIRST_ATTEMPTS_CPU(
            "cold_launch_cpu_by_workers",
            "workers",
            "CPU s per attempt, first " + DispatcherBench.WARM_UP_REQUESTS + " attempts"),
    MEMORY("memory_by_workers", "workers", "MB"),
    TIME_TO_READY("ready_by_workers", "workers", "s until listening for clients"),
    TIME_TO_ENDPOINT_LIST(
            "whole_list_s_by_workers", "workers", "s until the complete list is loaded"),
    COMPLETE_LIST_BYTES("whole_list_bytes_by_workers", "workers", "bytes of a complete list"),
    CHANGES_CPU("cpu_by_changes", "endpoint changes/s", "cores"),
    CHANGES_BYTES("list_bytes_by_changes", "endpoint changes/s", "bytes/s"),
    ATTEMPT_RATE_CPU("cpu_by_launches", "attempts/s", "cores"),
    IN_FLIGHT_CPU("cpu_by_held", "attempts in flight", "cores"),
    IN_FLIGHT_MEMORY("memory_by_held", "attempts in flight", "MB"),
    TENANTS_CPU("launch_cpu_by_tenants", "tenants", "CPU s per attempt"),
    BATCH_CPU("batch_cpu_by_changes", "changes in one response", "CPU s"),
    BATCH_TIME_TO_IN_FORCE(
            "batch_in_force_by_changes", "changes in one response", "s until in force"),
    DISCOVERY_CALLS("list_calls_by_dispatchers", "dispatchers", "calls/s"),
    DISCOVERY_BYTES("list_bytes_by_dispatchers", "dispatchers", "bytes/s"),
    TIME_TO_IN_FORCE_P50("in_force_p50_by_dispatchers", "dispatchers", "s until in force, p50"),
    TIME_TO_IN_FORCE_P99("in_force_p99_by_dispatchers", "dispatchers", "s until in force, p99"),
    TIME_TO_IN_FORCE_MAX("in_force_worst_by_dispatchers", "dispatchers", "s until in force, max");

    private final String key;
    private final String xLabel;
    private final String yLabel;

    ScaleSeries(String key, String xLabel, String yLabel) {
        this.key = key;
        this.xLabel = xLabel;
        this.yLabel = yLabel;
    }

    /** Returns the name of the series in the results file. */
    public String key() {
        return key;
    }

    /** Returns the quantity that was varied, with its unit. */
    public String xLabel() {
        return xLabel;
    }

    /** Returns the quantity that was measured, with its unit. */
    public String yLabel() {
        return yLabel;
    }
}
