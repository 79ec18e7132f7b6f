package wheelroute.kit.model;

/** The time of a run, simulated or real, in seconds; the model cannot tell which. */
public interface Timeline {
    /** Returns the current time; its origin is arbitrary. */
    double now();

    /** Runs a task once after a delay; tasks due together run in the order of these calls. */
    void schedule(double delaySeconds, Runnable task);
}
