package wheelroute.config;

import java.util.Locale;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/** The words in the values of settings, and the constants of this program that they stand for. */
final class SettingsVocabulary {
    /** {@link ConfigKeys#ENDPOINT_LIST_MODE}: changes of the endpoint list are sent unrequested. */
    static final String LIST_MODE_PUSH = "push";

    /** {@link ConfigKeys#ENDPOINT_LIST_MODE}: changes of the endpoint list are polled for. */
    static final String LIST_MODE_POLL = "ask";

    /** {@link ConfigKeys#LOAD_REPORT_FIELD}: load reports have the number of free slots. */
    static final String REPORTS_FREE_SLOTS = "free_slots";

    private SettingsVocabulary() {}

    /** Returns the strictest constant for an unknown word, which may be of a later version. */
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

    /** Returns the narrowest scope for an unknown word. */
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
