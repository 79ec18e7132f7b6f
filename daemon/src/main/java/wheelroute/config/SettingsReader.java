package wheelroute.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;

/**
 * Reads the settings' path=value pairs, for adapter and service alike. Unknown keys are ignored,
 * and '-' stands for an absent number.
 */
public final class SettingsReader {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final String REQUEST_CLASSES = "request_classes.";
    private static final String CLASS_OBJECTIVES = "family_info.class_stretch";
    private static final String KEY_QUIET_PERIOD = "rules.key_rest_us";

    private final Map<String, String> pairs;

    SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Reads all settings of the decisions.
     *
     * @throws ConfigException if a value is malformed or out of range
     */
    public static Settings read(long seed, Map<String, String> pairs) throws ConfigException {
        return new SettingsReader(pairs).readSettings(seed);
    }

    Settings readSettings(long seed) throws ConfigException {
        double dispatchers = number("balancers", 1);
        double position = number("position", -1);
        if (!(position < dispatchers)) {
            // It would never be admitted to a worker in slow start.
            throw new ConfigException("position", "is not under the number of dispatchers");
        }
        return new Settings(
                seed,
                new Ids.Zone(text("az", "")),
                (int) dispatchers,
                (int) position,
                seconds("round_us", 0),
                requestClasses(),
                quotas(),
                number("over_share_worth", 1),
                text("membership_mode", "push").equals("ask"),
                flag("family_info.tells_start"),
                seconds("family_info.progress_us", 0),
                text("family_info.report_x0", "").replace(' ', '_').equals("free_slots"),
                flag("permissions.cancel"),
                flag("permissions.may_duplicate"),
                flag("permissions.retry_after"),
                seconds("permissions.max_retry_after_us", 0),
                (int) number("permissions.most_tries", 1),
                number("rules.cold_from", 1),
                seconds("rules.cold_us", 0),
                number("rules.tip_multiple", 1),
                seconds("rules.fall_us", 0),
                number("prices.cross_zone", 0),
                number("prices.origin", 0),
                strictFlag("rules.gone_is_advice"),
                keyQuietPeriodSeconds(),
                Math.max(0, seconds("rules.stop_sending_within_us", 0)));
    }

    private List<Settings.RequestClass> requestClasses() throws ConfigException {
        List<Settings.RequestClass> requestClasses = new ArrayList<>();
        int count = (int) number(REQUEST_CLASSES + "count", 0);
        for (int i = 0; i < count; i++) {
            requestClasses.add(requestClass(i));
        }
        return requestClasses;
    }

    private Settings.RequestClass requestClass(int index) throws ConfigException {
        String prefix = REQUEST_CLASSES + index + ".";
        return new Settings.RequestClass(
                new Ids.RequestClass(text(prefix + "name", "")),
                SettingsVocabulary.idempotency(text(prefix + "effect", "")),
                SettingsVocabulary.idempotencyScope(text(prefix + "group", "")),
                seconds(prefix + "on_time_us", 0),
                objectivePerWork(index),
                number(prefix + "worth", 1),
                number(prefix + "late_value", 0),
                seconds(prefix + "window_us", 0),
                model(index),
                strictFlag(prefix + "one_at_a_time"));
    }

    /** The class's own value, or else its item in the list for all classes. */
    private double objectivePerWork(int index) throws ConfigException {
        String key = REQUEST_CLASSES + index + ".aim_stretch";
        String listed = listItem(CLASS_OBJECTIVES, index);
        if (pairs.containsKey(key) || listed.isEmpty()) {
            return number(key, 0);
        }
        return parse(CLASS_OBJECTIVES, listed);
    }

    /** Null for a class that any model may run. A model is given by name, or by index. */
    private Ids.Model model(int index) {
        String model = listItem("family_info.class_kind", index);
        if (model.isEmpty() || model.equals("-1")) {
            return null;
        }
        String[] names = text("models", "").split(",");
        for (int i = 0; i < names.length; i++) {
            if (model.equals(Integer.toString(i))) {
                return new Ids.Model(names[i]);
            }
        }
        return new Ids.Model(model);
    }

    /** An item of a list with commas; empty where the list is shorter. */
    private String listItem(String key, int index) {
        String[] items = text(key, "").split(",");
        return index < items.length ? items[index] : "";
    }

    private Map<Ids.Tenant, Double> quotas() throws ConfigException {
        Map<Ids.Tenant, Double> quotas = new LinkedHashMap<>();
        int count = (int) number("tenants.count", 0);
        for (int i = 0; i < count; i++) {
            quotas.put(
                    new Ids.Tenant(text("tenants." + i + ".name", "")),
                    number("tenants." + i + ".quota_per_s", 0));
        }
        return quotas;
    }

    private double keyQuietPeriodSeconds() throws ConfigException {
        double period = seconds(KEY_QUIET_PERIOD, 0);
        if (!(period >= 0)) {
            throw new ConfigException(KEY_QUIET_PERIOD, "is under 0");
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

    /** For a flag that must not be off just because it is misspelled. */
    private boolean strictFlag(String key) throws ConfigException {
        String value = text(key, "false");
        if (!List.of("true", "1", "false", "0", "-").contains(value)) {
            throw new ConfigException(key, "is neither true nor false: " + value);
        }
        return flag(key);
    }

    /** Seconds, from a value in microseconds. */
    double seconds(String key, double defaultValue) throws ConfigException {
        return number(key, defaultValue * MICROS_PER_SECOND) / MICROS_PER_SECOND;
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
