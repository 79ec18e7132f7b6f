package wheelroute.config;

import java.util.Locale;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/** Maps the words in the values of settings to the constants of this program, and back. */
final class SettingsVocabulary {
    /**
     * Value of {@link ConfigKeys#ENDPOINT_LIST_MODE} if changes of the endpoint list are pushed to
     * dispatchers.
     */
    static final String LIST_MODE_PUSH = "push";

    /**
     * Value of {@link ConfigKeys#ENDPOINT_LIST_MODE} if dispatchers poll for changes of the
     * endpoint list.
     */
    static final String LIST_MODE_POLL = "ask";

    /**
     * Value of {@link ConfigKeys#LOAD_REPORT_FIELD} if load reports have the number of free slots.
     */
    static final String REPORTS_FREE_SLOTS = "free_slots";

    private SettingsVocabulary() {}

    /** Returns the constant of a word; the strictest for a word unknown to this version. */
    static Idempotency idempotency(String word) {
        return switch (word) {
            case "free" -> Idempotency.IDEMPOTENT;
            case "guarded" -> Idempotency.IDEMPOTENT_BY_KEY;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    static String word(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "free";
            case IDEMPOTENT_BY_KEY -> "guarded";
            case NON_IDEMPOTENT -> "once";
        };
    }

    /** Returns the scope of a word; the narrowest for a word unknown to this version. */
    static IdempotencyScope idempotencyScope(String word) {
        return switch (word) {
            case "all" -> IdempotencyScope.ALL;
            case "zone" -> IdempotencyScope.ZONE;
            default -> IdempotencyScope.CELL;
        };
    }

    static String word(IdempotencyScope scope) {
        return scope.name().toLowerCase(Locale.ROOT);
    }
}
