package wheelroute.decision;

/** The workers that recognize each other's idempotency keys. */
public enum IdempotencyScope {
    /** All workers. */
    ALL,
    /** Workers of the same zone. */
    ZONE,
    /** Workers of the same cell. */
    CELL;

    /** Returns whether either of the two workers recognizes a key that the other one has seen. */
    public boolean covers(Endpoint a, Endpoint b) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> a.zone().equals(b.zone());
            case CELL -> a.cell().equals(b.cell());
        };
    }
}
