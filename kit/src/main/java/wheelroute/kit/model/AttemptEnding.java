package wheelroute.kit.model;

/** How a worker ends an attempt. */
public enum AttemptEnding {
    SUCCEEDED("succeeded"),
    FAILED("failed"),
    /** Returned by a draining worker before it was started. */
    RETURNED("returned"),
    /** Not accepted: the worker's queue or memory is full. */
    REJECTED("rejected"),
    /** The connection was lost: the process died, or the machine dropped it. */
    CONNECTION_LOST("connection lost");

    private final String label;

    AttemptEnding(String label) {
        this.label = label;
    }

    /** Returns the ending as people read it. */
    public String label() {
        return label;
    }

    /** Whether the protocol proves that the attempt was never started. */
    public boolean provesNeverRan() {
        return this == RETURNED || this == REJECTED;
    }
}
