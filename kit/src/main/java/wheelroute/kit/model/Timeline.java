package wheelroute.kit.model;

/** The clock and scheduler of a run, simulated or real; all times are in seconds. */
public interface Timeline {
    /** Returns the current time in seconds since an arbitrary origin. */
    double now();

    /**
     * Runs a task once after a delay; tasks due at the same time run in the order of scheduling.
     */
    void schedule(double delaySeconds, Runnable task);
}
