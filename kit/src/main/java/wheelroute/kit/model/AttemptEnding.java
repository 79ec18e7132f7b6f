package wheelroute.kit.model;

/** How a worker ends a launch. */
public enum AttemptEnding {
    DONE,
    FAILED,
    /** Handed back before it was begun. */
    RETURNED,
    /** Not taken: its queue or its memory is full. */
    TURNED_AWAY,
    /** The connection breaks: the process died, or the machine forgot it. */
    BROKEN;

    /** The protocol proves that nothing was begun. */
    public boolean provesNeverRan() {
        return this == RETURNED || this == TURNED_AWAY;
    }
}
