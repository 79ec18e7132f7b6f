package wheelroute.decision;

/** The workers that know each other's repeats of a deduplicated submission. */
public enum IdempotencyScope {
    ALL,
    ZONE,
    CELL;

    /** Whether one of the two workers knows the other's repeats. */
    boolean covers(Endpoint a, Endpoint b) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> a.zone().equals(b.zone());
            case CELL -> a.cell().equals(b.cell());
        };
    }
}
