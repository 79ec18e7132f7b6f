package wheelroute.kit.model;

/**
 * The active faults at a worker. Faults of one kind may overlap: the kind is active until the last
 * of them has ended, and their levels are added or multiplied.
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

    /** Returns whether nothing reaches the worker and nothing that it sends arrives. */
    boolean isPartitioned() {
        return activePartitions > 0;
    }

    /** Returns whether nothing that the worker sends arrives. */
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

    /** Returns the fraction of attempts that fail immediately after their arrival. */
    double failureFraction() {
        return failureFraction;
    }

    void changeReportDelay(double changeSeconds) {
        reportDelaySeconds += changeSeconds;
    }

    /** Returns the age of load reports in excess of the lag in the platform's terms. */
    double reportDelaySeconds() {
        return reportDelaySeconds;
    }
}
