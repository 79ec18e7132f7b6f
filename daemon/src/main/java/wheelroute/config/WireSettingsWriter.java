package wheelroute.config;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * Settings in our own words and seconds, written as the path=value pairs that {@link
 * SettingsReader} reads: for those who do not come with the platform's JSON.
 */
public final class WireSettingsWriter {
    private static final double MICROS = 1e6;

    private final Map<String, String> pairs = new LinkedHashMap<>();
    private int offerings;
    private int tenants;

    public Map<String, String> pairs() {
        return pairs;
    }

    public WireSettingsWriter text(String path, String value) {
        pairs.put(path, value);
        return this;
    }

    public WireSettingsWriter flag(String path, boolean value) {
        return text(path, Boolean.toString(value));
    }

    public WireSettingsWriter number(String path, double value) {
        return text(
                path,
                value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value));
    }

    public WireSettingsWriter seconds(String path, double value) {
        return text(path, Long.toString(Math.round(value * MICROS)));
    }

    /** One row of the table of offerings. */
    public WireSettingsWriter offering(
            String name,
            Idempotency effect,
            IdempotencyScope group,
            double quoted,
            double stretch,
            double outer,
            double value,
            double lateValue,
            double window,
            boolean inTurn) {
        String row = "request_classes." + offerings++ + ".";
        return text(row + "name", name)
                .text(
                        row + "effect",
                        switch (effect) {
                            case IDEMPOTENT -> "free";
                            case IDEMPOTENT_BY_KEY -> "guarded";
                            case NON_IDEMPOTENT -> "once";
                        })
                .text(row + "group", group.name().toLowerCase(Locale.ROOT))
                .seconds(row + "on_time_us", quoted)
                .number(row + "aim_stretch", stretch)
                .seconds(row + "hard_limit_us", outer)
                .number(row + "worth", value)
                .number(row + "late_value", lateValue)
                .seconds(row + "window_us", window)
                .flag(row + "one_at_a_time", inTurn)
                .number("request_classes.count", offerings);
    }

    /** Quota in asks a second; 0 for none. */
    public WireSettingsWriter tenant(String name, double quota) {
        String row = "tenants." + tenants++ + ".";
        return text(row + "name", name)
                .number(row + "quota_per_s", quota)
                .number("tenants.count", tenants);
    }
}
