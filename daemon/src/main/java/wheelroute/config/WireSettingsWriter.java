package wheelroute.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes settings as the path=value pairs that {@link SettingsReader} reads, for settings that do
 * not come from the platform's JSON.
 */
public final class WireSettingsWriter {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Map<String, String> pairs = new LinkedHashMap<>();
    private int requestClassCount;
    private int tenantCount;

    /** The pairs written so far, in order; not a copy. */
    public Map<String, String> pairs() {
        return pairs;
    }

    /** Writes a value as it is. */
    public WireSettingsWriter text(String path, String value) {
        pairs.put(path, value);
        return this;
    }

    /** Writes true or false. */
    public WireSettingsWriter flag(String path, boolean value) {
        return text(path, Boolean.toString(value));
    }

    /** Writes a number, without a decimal point if it is whole. */
    public WireSettingsWriter number(String path, double value) {
        boolean isWhole = value == Math.rint(value);
        return text(path, isWhole ? Long.toString((long) value) : Double.toString(value));
    }

    /** Writes seconds as whole microseconds. */
    public WireSettingsWriter seconds(String path, double value) {
        return text(path, Long.toString(Math.round(value * MICROS_PER_SECOND)));
    }

    /** Adds a request class after those written before. */
    public WireSettingsWriter requestClass(RequestClassSettings settings) {
        String prefix = "request_classes." + requestClassCount + ".";
        requestClassCount++;
        return text(prefix + "name", settings.name())
                .text(prefix + "effect", SettingsVocabulary.word(settings.idempotency()))
                .text(prefix + "group", SettingsVocabulary.word(settings.scope()))
                .seconds(prefix + "on_time_us", settings.latencyObjectiveSeconds())
                .number(prefix + "aim_stretch", settings.objectivePerWork())
                .seconds(prefix + "hard_limit_us", settings.deadline())
                .number(prefix + "worth", settings.priorityWeight())
                .number(prefix + "late_value", settings.lateValue())
                .seconds(prefix + "window_us", settings.idempotencyWindowSeconds())
                .flag(prefix + "one_at_a_time", settings.ordered())
                .number("request_classes.count", requestClassCount);
    }

    /**
     * Adds a tenant after those written before.
     *
     * @param quota in requests per second; 0 for none
     */
    public WireSettingsWriter tenant(String name, double quota) {
        String prefix = "tenants." + tenantCount + ".";
        tenantCount++;
        return text(prefix + "name", name)
                .number(prefix + "quota_per_s", quota)
                .number("tenants.count", tenantCount);
    }
}
