package wheelroute.config;

import java.util.Locale;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/** The words that the settings' path=value pairs have for our types. */
final class SettingsVocabulary {
    private SettingsVocabulary() {}

    /** The strictest one for an unknown word, which may be of a later version. */
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

    /** The narrowest one for an unknown word. */
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
