package wheelroute.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;

/**
 * The settings' path=value pairs, in our words, for adapter and service alike. Other keys are
 * skipped.
 */
public final class SettingsReader {
    private static final double MICROS = 1e6;
    private static final String CLASSES = "request_classes.";

    private final Map<String, String> pairs;

    SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    public static Settings read(long seed, Map<String, String> pairs) throws ConfigException {
        return new SettingsReader(pairs).settings(seed);
    }

    Settings settings(long seed) throws ConfigException {
        double dispatchers = number("balancers", 1);
        double position = number("position", -1);
        if (!(position < dispatchers)) {
            // It would never have its turn at a cold worker.
            throw new ConfigException("position", "is not under the number of dispatchers");
        }
        return new Settings(
                seed,
                new Ids.Zone(text("az", "")),
                (int) dispatchers,
                (int) position,
                seconds("round_us", 0),
                offerings(),
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
                rest());
    }

    private List<Settings.RequestClass> offerings() throws ConfigException {
        List<Settings.RequestClass> rows = new ArrayList<>();
        int count = (int) number(CLASSES + "count", 0);
        String[] stretches = text("family_info.class_stretch", "").split(",");
        String[] models = text("family_info.class_kind", "").split(",");
        for (int i = 0; i < count; i++) {
            String row = CLASSES + i + ".";
            String model = i < models.length ? models[i] : "";
            rows.add(
                    new Settings.RequestClass(
                            new Ids.RequestClass(text(row + "name", "")),
                            effect(row),
                            group(row),
                            seconds(row + "on_time_us", 0),
                            stretch(row, stretches, i),
                            number(row + "worth", 1),
                            number(row + "late_value", 0),
                            seconds(row + "window_us", 0),
                            model.isEmpty() || model.equals("-1")
                                    ? null
                                    : new Ids.Model(modelName(model)),
                            strictFlag(row + "one_at_a_time")));
        }
        return rows;
    }

    /** A class's kind may come as a name or as its place in the list of kinds. */
    private String modelName(String model) {
        String[] names = text("models", "").split(",");
        for (int i = 0; i < names.length; i++) {
            if (model.equals(Integer.toString(i))) {
                return names[i];
            }
        }
        return model;
    }

    private double stretch(String row, String[] stretches, int i) throws ConfigException {
        if (pairs.containsKey(row + "aim_stretch")
                || i >= stretches.length
                || stretches[i].isEmpty()) {
            return number(row + "aim_stretch", 0);
        }
        return parse("family_info.class_stretch", stretches[i]);
    }

    private Idempotency effect(String row) {
        return switch (text(row + "effect", "")) {
            case "free" -> Idempotency.IDEMPOTENT;
            case "guarded" -> Idempotency.IDEMPOTENT_BY_KEY;
            // Anything else, also a kind yet to come, gets the strictest reading.
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private IdempotencyScope group(String row) {
        return switch (text(row + "group", "")) {
            case "all" -> IdempotencyScope.ALL;
            case "zone" -> IdempotencyScope.ZONE;
            default -> IdempotencyScope.CELL;
        };
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

    private String text(String key, String absent) {
        return pairs.getOrDefault(key, absent);
    }

    private boolean flag(String key) {
        String s = text(key, "");
        return s.equals("true") || s.equals("1");
    }

    /** For what must not be taken for off because it was written another way. */
    private boolean strictFlag(String key) throws ConfigException {
        String s = text(key, "false");
        if (!List.of("true", "1", "false", "0", "-").contains(s)) {
            throw new ConfigException(key, "is neither true nor false: " + s);
        }
        return flag(key);
    }

    private double rest() throws ConfigException {
        double rest = seconds("rules.key_rest_us", 0);
        if (!(rest >= 0)) {
            throw new ConfigException("rules.key_rest_us", "is under 0");
        }
        return rest;
    }

    double seconds(String key, double absent) throws ConfigException {
        return number(key, absent * MICROS) / MICROS;
    }

    double number(String key, double absent) throws ConfigException {
        String s = pairs.get(key);
        return s == null || s.equals("-") ? absent : parse(key, s);
    }

    private double parse(String key, String s) throws ConfigException {
        try {
            return Double.parseDouble(s);
        } catch (NumberFormatException e) {
            throw new ConfigException(key, "is not a number: " + s);
        }
    }
}
