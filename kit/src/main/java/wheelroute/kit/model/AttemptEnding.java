package wheelroute.kit.model;

/** How a worker ends an attempt. */
public enum AttemptEnding {
    SUCCEEDED("succeeded"),
    FAILED("failed"),
    /** A draining worker returned the attempt before starting it. */
    RETURNED("returned"),
    /** The worker did not accept the attempt because its queue or memory is full. */
    REJECTED("rejected"),
    /** The connection was lost because the process died or the machine dropped the connection. */
    CONNECTION_LOST("connection lost");

    private final String label;

    AttemptEnding(String label) {
        this.label = label;
    }

    /** Returns the text for the ending in request histories. */
    public String label() {
        return label;
    }

    /** Returns whether the protocol proves that the attempt was never started. */
    public boolean provesNeverRan() {
        return this == RETURNED || this == REJECTED;
    }
}
