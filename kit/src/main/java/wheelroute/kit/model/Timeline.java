package wheelroute.kit.model;

/** The time that a world lives in: virtual or real, the model cannot tell. Seconds. */
public interface Timeline {
    double now();

    /**
     * Once, after so long; tasks that are due together run in the order in which they were asked
     * for.
     */
    void schedule(double delay, Runnable task);
}
