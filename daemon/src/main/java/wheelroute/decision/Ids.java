package wheelroute.decision;

/**
 * The types of ids, one for each kind.
 *
 * <p>Each defines {@code equals} and {@code hashCode} itself, because those that the compiler
 * generates for a record are linked on first use, which would slow down the start of the process.
 */
public final class Ids {
    private Ids() {}

    /** A request, numbered by the dispatcher that accepted it. */
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

    /** A worker, numbered by the dispatcher that lists it. */
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

    /** A request class, by its name in the settings. */
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

    /** A tenant, by its name; the empty name stands for all tenants without a quota. */
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

    /** A zone of workers and dispatchers. */
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

    /** A routing key, by its name. */
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

    /** A model of workers, by its name; workers of one model are alike. */
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

    /** A cell: workers that share a store of idempotency keys. */
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
