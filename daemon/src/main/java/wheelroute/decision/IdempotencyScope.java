package wheelroute.decision;

/** The workers that recognize each other's idempotency keys. */
public enum IdempotencyScope {
    /** All workers. */
    ALL,
    /** Workers of the same zone. */
    ZONE,
    /** Workers of the same cell. */
    CELL;

    /** Returns whether a worker recognizes a key that the worker of an earlier attempt has seen. */
    public boolean covers(EarlierAttempt earlier, Endpoint worker) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> worker.zone().equals(earlier.zone());
            case CELL -> worker.cell().equals(earlier.cell());
        };
    }
}
