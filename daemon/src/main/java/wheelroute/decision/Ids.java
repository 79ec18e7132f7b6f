package wheelroute.decision;

/**
 * One type for each kind of id, so that none can stand in for another.
 *
 * <p>They say themselves what makes them equal: what a record inherits is linked at run time, on
 * the first look-up, and took a sixth of a start's CPU.
 */
public final class Ids {
    private Ids() {}

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
