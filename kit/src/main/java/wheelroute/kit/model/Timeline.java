package wheelroute.kit.model;

/** The time of a run in seconds. The model does not know whether it is simulated or real. */
public interface Timeline {
    /** Returns the current time; its origin is arbitrary. */
    double now();

    /** Runs a task once after a delay; tasks due together run in the order of these calls. */
    void schedule(double delaySeconds, Runnable task);
}
