package wheelroute.config;

import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.units.TimeUnits;

/**
 * Converts settings that do not come from the platform's JSON to the path=value pairs that {@link
 * SettingsReader} reads. Not thread-safe.
 */
public final class WireSettingsWriter {
    private final Map<String, String> pairs = new LinkedHashMap<>();
    private int requestClassCount;
    private int tenantCount;

    /** Returns a view of the pairs written so far, in their order. */
    public Map<String, String> pairs() {
        return pairs;
    }

    /** Writes a text unchanged. A later value of the same path replaces it. */
    public WireSettingsWriter text(String path, String value) {
        pairs.put(path, value);
        return this;
    }

    /** Writes a flag as true or false. */
    public WireSettingsWriter flag(String path, boolean value) {
        return text(path, Boolean.toString(value));
    }

    /** Writes a number; a whole number without a decimal point. */
    public WireSettingsWriter number(String path, double value) {
        boolean isWhole = value == Math.rint(value);
        return text(path, isWhole ? Long.toString((long) value) : Double.toString(value));
    }

    /** Writes seconds as whole microseconds. */
    public WireSettingsWriter seconds(String path, double value) {
        return text(path, Long.toString(Math.round(value * TimeUnits.MICROS_PER_SECOND)));
    }

    /** Adds a request class after those written before. */
    public WireSettingsWriter requestClass(RequestClassSettings settings) {
        String prefix = ConfigKeys.itemPrefix(ConfigKeys.REQUEST_CLASSES, requestClassCount);
        requestClassCount++;
        String idempotency = SettingsVocabulary.word(settings.idempotency());
        String scope = SettingsVocabulary.word(settings.scope());
        return text(prefix + ConfigKeys.CLASS_NAME, settings.name())
                .text(prefix + ConfigKeys.CLASS_IDEMPOTENCY, idempotency)
                .text(prefix + ConfigKeys.CLASS_IDEMPOTENCY_SCOPE, scope)
                .seconds(
                        prefix + ConfigKeys.CLASS_LATENCY_OBJECTIVE,
                        settings.latencyObjectiveSeconds())
                .number(prefix + ConfigKeys.CLASS_OBJECTIVE_PER_WORK, settings.objectivePerWork())
                .seconds(prefix + ConfigKeys.CLASS_DEADLINE, settings.deadlineSeconds())
                .number(prefix + ConfigKeys.CLASS_PRIORITY_WEIGHT, settings.priorityWeight())
                .number(prefix + ConfigKeys.CLASS_LATE_VALUE, settings.lateValue())
                .seconds(
                        prefix + ConfigKeys.CLASS_IDEMPOTENCY_WINDOW,
                        settings.idempotencyWindowSeconds())
                .flag(prefix + ConfigKeys.CLASS_ORDERED, settings.ordered())
                .number(ConfigKeys.REQUEST_CLASSES + ConfigKeys.COUNT_SUFFIX, requestClassCount);
    }

    /**
     * Adds a tenant after those written before.
     *
     * @param quota quota in requests per second; 0 for no quota
     */
    public WireSettingsWriter tenant(String name, double quota) {
        String prefix = ConfigKeys.itemPrefix(ConfigKeys.TENANTS, tenantCount);
        tenantCount++;
        return text(prefix + ConfigKeys.TENANT_NAME, name)
                .number(prefix + ConfigKeys.TENANT_QUOTA, quota)
                .number(ConfigKeys.TENANTS + ConfigKeys.COUNT_SUFFIX, tenantCount);
    }
}
