package wheelroute.kit.model;

/** How a worker ends an attempt. */
public enum AttemptEnding {
    SUCCEEDED("done"),
    FAILED("failed"),
    /** Handed back by a draining worker before it was started. */
    RETURNED("returned"),
    /** Not accepted: the worker's queue or memory is full. */
    REJECTED("turned_away"),
    /** The connection was lost: the process died, or the machine dropped it. */
    CONNECTION_LOST("broken");

    private final String reportName;

    AttemptEnding(String reportName) {
        this.reportName = reportName;
    }

    /** The ending's name in reports. */
    public String reportName() {
        return reportName;
    }

    /** Whether the protocol proves that the attempt was never started. */
    public boolean provesNeverRan() {
        return this == RETURNED || this == REJECTED;
    }
}
