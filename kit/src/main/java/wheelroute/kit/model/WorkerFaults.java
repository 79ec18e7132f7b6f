package wheelroute.kit.model;

/**
 * The faults in force at a worker. Faults of one kind may overlap: each kind lasts until the last
 * of its faults has ended, and levels add up or multiply.
 */
final class WorkerFaults {
    private int activeStalls;
    private int activeUnresponsive;
    private int activePartitions;
    private double speedFactor = 1;
    private double failureFraction;
    private double reportDelaySeconds;

    void setStalled(boolean begins) {
        activeStalls += begins ? 1 : -1;
    }

    boolean isStalled() {
        return activeStalls > 0;
    }

    void setUnresponsive(boolean begins) {
        activeUnresponsive += begins ? 1 : -1;
    }

    void setPartitioned(boolean begins) {
        activePartitions += begins ? 1 : -1;
    }

    /** Whether nothing reaches the worker, and nothing that it sends arrives. */
    boolean isPartitioned() {
        return activePartitions > 0;
    }

    /** Whether nothing that the worker sends arrives. */
    boolean areResponsesLost() {
        return activeUnresponsive > 0 || activePartitions > 0;
    }

    void multiplySpeed(double factor) {
        speedFactor *= factor;
    }

    double speedFactor() {
        return speedFactor;
    }

    void changeFailureFraction(double change) {
        failureFraction = Math.max(0, Math.min(1, failureFraction + change));
    }

    /** The fraction of attempts that fail as soon as they arrive. */
    double failureFraction() {
        return failureFraction;
    }

    void changeReportDelay(double changeSeconds) {
        reportDelaySeconds += changeSeconds;
    }

    /** By how much load reports are older than the platform's terms say. */
    double reportDelaySeconds() {
        return reportDelaySeconds;
    }
}
