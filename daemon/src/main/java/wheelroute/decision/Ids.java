package wheelroute.decision;

/**
 * Identifiers, with one type for each kind.
 *
 * <p>Each type defines {@code equals} and {@code hashCode} itself, because the methods that the
 * compiler generates for a record are linked on first use, which would slow down the start of the
 * process.
 */
public final class Ids {
    private Ids() {}

    /** The number of a request, given by the dispatcher that accepted it. */
    public record Request(long value) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Request that && value == that.value;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(value);
        }
    }

    /** The number of a worker, given by the dispatcher that lists it. */
    public record Worker(long value) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Worker that && value == that.value;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(value);
        }
    }

    /** The name of a request class in the settings. */
    public record RequestClass(String name) {
        @Override
        public boolean equals(Object other) {
            return other instanceof RequestClass that && name.equals(that.name);
        }

        @Override
        public int hashCode() {
            return name.hashCode();
        }
    }

    /** The name of a tenant. The empty name stands for all tenants without a quota. */
    public record Tenant(String name) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Tenant that && name.equals(that.name);
        }

        @Override
        public int hashCode() {
            return name.hashCode();
        }
    }

    /** The name of a zone, in which workers and dispatchers run. */
    public record Zone(String name) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Zone that && name.equals(that.name);
        }

        @Override
        public int hashCode() {
            return name.hashCode();
        }
    }

    /** The name of a routing key. */
    public record Key(String name) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && name.equals(that.name);
        }

        @Override
        public int hashCode() {
            return name.hashCode();
        }
    }

    /** The name of a model of workers. Workers of one model are alike. */
    public record Model(String name) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Model that && name.equals(that.name);
        }

        @Override
        public int hashCode() {
            return name.hashCode();
        }
    }

    /** The number of a cell, whose workers share a store of idempotency keys. */
    public record Cell(long value) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Cell that && value == that.value;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(value);
        }
    }
}
