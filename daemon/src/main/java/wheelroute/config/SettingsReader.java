package wheelroute.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.units.TimeUnits;

/**
 * Reads the settings from path=value pairs, for both the adapter and the service. Ignores unknown
 * keys. A number or flag with the value '-' counts as absent. Not thread-safe.
 */
public final class SettingsReader {
    /** Item of {@link ConfigKeys#CLASS_MODELS} for a request class that any model may run. */
    private static final String ANY_MODEL = "-1";

    private final Map<String, String> pairs;

    SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Reads all settings of the dispatch decisions.
     *
     * @param seed seed of the random choices
     * @throws ConfigException if a value is malformed or out of range
     */
    public static Settings read(long seed, Map<String, String> pairs) throws ConfigException {
        return new SettingsReader(pairs).readSettings(seed);
    }

    Settings readSettings(long seed) throws ConfigException {
        double dispatchers = number(ConfigKeys.DISPATCHERS, 1);
        double position = number(ConfigKeys.POSITION, -1);
        if (!(position < dispatchers)) {
            // A dispatcher with such a position would never send a request to a worker in slow
            // start.
            throw new ConfigException(
                    ConfigKeys.POSITION,
                    "is " + position + ", which is not less than the number of dispatchers");
        }
        return new Settings(
                seed,
                new Ids.Zone(text(ConfigKeys.ZONE, "")),
                (int) dispatchers,
                (int) position,
                seconds(ConfigKeys.TIME_RESOLUTION, 0),
                requestClasses(),
                quotas(),
                number(ConfigKeys.OVER_QUOTA_VALUE, 1),
                watchesEndpoints(),
                flag(ConfigKeys.REPORTS_START),
                seconds(ConfigKeys.PROGRESS_INTERVAL, 0),
                reportsFreeSlots(),
                flag(ConfigKeys.MAY_CANCEL),
                flag(ConfigKeys.MAY_HEDGE),
                flag(ConfigKeys.SENDS_RETRY_AFTER),
                seconds(ConfigKeys.MAX_RETRY_AFTER, 0),
                (int) number(ConfigKeys.MAX_ATTEMPTS, 1),
                number(ConfigKeys.SLOW_START_SHARE, 1),
                seconds(ConfigKeys.SLOW_START_DURATION, 0),
                number(ConfigKeys.OVERLOAD_MULTIPLE, 1),
                seconds(ConfigKeys.OVERLOAD_WINDOW, 0),
                number(ConfigKeys.CROSS_ZONE_PRICE, 0),
                number(ConfigKeys.CACHE_MISS_PRICE, 0),
                strictFlag(ConfigKeys.REMOVAL_IS_ADVISORY),
                keyQuietPeriodSeconds(),
                Math.max(0, seconds(ConfigKeys.DRAIN_GRACE, 0)));
    }

    private boolean watchesEndpoints() {
        return text(ConfigKeys.ENDPOINT_LIST_MODE, SettingsVocabulary.LIST_MODE_PUSH)
                .equals(SettingsVocabulary.LIST_MODE_POLL);
    }

    private boolean reportsFreeSlots() {
        return text(ConfigKeys.LOAD_REPORT_FIELD, "")
                .replace(' ', '_')
                .equals(SettingsVocabulary.REPORTS_FREE_SLOTS);
    }

    private List<Settings.RequestClass> requestClasses() throws ConfigException {
        List<Settings.RequestClass> requestClasses = new ArrayList<>();
        int count = (int) number(ConfigKeys.REQUEST_CLASSES + ConfigKeys.COUNT_SUFFIX, 0);
        for (int i = 0; i < count; i++) {
            requestClasses.add(requestClass(i));
        }
        return requestClasses;
    }

    private Settings.RequestClass requestClass(int index) throws ConfigException {
        String prefix = ConfigKeys.itemPrefix(ConfigKeys.REQUEST_CLASSES, index);
        return new Settings.RequestClass(
                new Ids.RequestClass(text(prefix + ConfigKeys.CLASS_NAME, "")),
                SettingsVocabulary.idempotency(text(prefix + ConfigKeys.CLASS_IDEMPOTENCY, "")),
                SettingsVocabulary.idempotencyScope(
                        text(prefix + ConfigKeys.CLASS_IDEMPOTENCY_SCOPE, "")),
                seconds(prefix + ConfigKeys.CLASS_LATENCY_OBJECTIVE, 0),
                objectivePerWork(index),
                number(prefix + ConfigKeys.CLASS_PRIORITY_WEIGHT, 1),
                number(prefix + ConfigKeys.CLASS_LATE_VALUE, 0),
                seconds(prefix + ConfigKeys.CLASS_IDEMPOTENCY_WINDOW, 0),
                model(index),
                strictFlag(prefix + ConfigKeys.CLASS_ORDERED));
    }

    /** Returns the value of the class's own key, or else its item in the list for all classes. */
    private double objectivePerWork(int index) throws ConfigException {
        String key =
                ConfigKeys.itemPrefix(ConfigKeys.REQUEST_CLASSES, index)
                        + ConfigKeys.CLASS_OBJECTIVE_PER_WORK;
        String listed = listItem(ConfigKeys.CLASS_OBJECTIVES_PER_WORK, index);
        if (pairs.containsKey(key) || listed.isEmpty()) {
            return number(key, 0);
        }
        return parse(ConfigKeys.CLASS_OBJECTIVES_PER_WORK, listed);
    }

    /** Returns the model, which is given by name or index; null if any model may run the class. */
    private Ids.Model model(int index) {
        String model = listItem(ConfigKeys.CLASS_MODELS, index);
        if (model.isEmpty() || model.equals(ANY_MODEL)) {
            return null;
        }
        String[] names = text(ConfigKeys.MODELS, "").split(",");
        for (int i = 0; i < names.length; i++) {
            if (model.equals(Integer.toString(i))) {
                return new Ids.Model(names[i]);
            }
        }
        return new Ids.Model(model);
    }

    /** Returns an item of a comma-separated list; empty if the list is shorter. */
    private String listItem(String key, int index) {
        String[] items = text(key, "").split(",");
        return index < items.length ? items[index] : "";
    }

    private Map<Ids.Tenant, Double> quotas() throws ConfigException {
        Map<Ids.Tenant, Double> quotas = new LinkedHashMap<>();
        int count = (int) number(ConfigKeys.TENANTS + ConfigKeys.COUNT_SUFFIX, 0);
        for (int i = 0; i < count; i++) {
            String prefix = ConfigKeys.itemPrefix(ConfigKeys.TENANTS, i);
            quotas.put(
                    new Ids.Tenant(text(prefix + ConfigKeys.TENANT_NAME, "")),
                    number(prefix + ConfigKeys.TENANT_QUOTA, 0));
        }
        return quotas;
    }

    private double keyQuietPeriodSeconds() throws ConfigException {
        double period = seconds(ConfigKeys.KEY_QUIET_PERIOD, 0);
        if (!(period >= 0)) {
            throw new ConfigException(
                    ConfigKeys.KEY_QUIET_PERIOD, "is not 0 s or more: " + period + " s");
        }
        return period;
    }

    private String text(String key, String defaultValue) {
        return pairs.getOrDefault(key, defaultValue);
    }

    private boolean flag(String key) {
        String value = text(key, "");
        return value.equals("true") || value.equals("1");
    }

    /** Reads a flag. Rejects an unknown word, so that a misspelled one does not mean false. */
    private boolean strictFlag(String key) throws ConfigException {
        String value = text(key, "false");
        if (!List.of("true", "1", "false", "0", "-").contains(value)) {
            throw new ConfigException(key, "is neither true nor false: " + value);
        }
        return flag(key);
    }

    /** Returns the number of seconds of a value that is in microseconds. */
    double seconds(String key, double defaultSeconds) throws ConfigException {
        return number(key, defaultSeconds * TimeUnits.MICROS_PER_SECOND)
                / TimeUnits.MICROS_PER_SECOND;
    }

    double number(String key, double defaultValue) throws ConfigException {
        String value = pairs.get(key);
        return value == null || value.equals("-") ? defaultValue : parse(key, value);
    }

    private static double parse(String key, String value) throws ConfigException {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException(key, "is not a number: " + value);
        }
    }
}
