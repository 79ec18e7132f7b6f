package wheelroute.kit.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import wheelroute.config.TomlFields;

/** Limits and readers of fields that several tables of a scenario file share. */
final class ScenarioFields {
    /** Passed as the default value of a field that must be present. */
    static final double REQUIRED = Double.NaN;

    static final double MAX_SECONDS = 86_400;
    static final double MAX_REQUESTS_PER_SECOND = 1e6;
    static final double MAX_NUMBER = 1e9;

    private ScenarioFields() {}

    /** Reads the name of an item of a list; empty if the name is missing or not a text. */
    static String name(TomlFields fields) {
        String name = fields.text("name", null);
        if (!name.isEmpty() && !name.matches("[a-z0-9][a-z0-9-]{0,40}")) {
            fields.addError(
                    "name",
                    "must be 1 to 41 lowercase letters, digits and dashes, not a dash first: "
                            + name);
        }
        return name;
    }

    /**
     * Reads a constant by its key.
     *
     * @param defaultValue null for a required field
     * @return the type's first constant if the key is missing or unknown
     */
    static <E extends Enum<E> & KeyedConstant> E constant(
            TomlFields fields, String key, E defaultValue, Class<E> type) {
        String text = fields.text(key, defaultValue == null ? null : defaultValue.key());
        for (E constant : type.getEnumConstants()) {
            if (constant.key().equals(text)) {
                return constant;
            }
        }
        if (!text.isEmpty()) {
            List<String> keys =
                    Arrays.stream(type.getEnumConstants()).map(KeyedConstant::key).toList();
            fields.addError(key, "is not one of " + String.join(", ", keys) + ": " + text);
        }
        return type.getEnumConstants()[0];
    }

    /** Reads one table, and records an error for each of its keys that the reader did not read. */
    static <T> T readStrictly(TomlFields fields, Function<TomlFields, T> reader) {
        T item = reader.apply(fields);
        fields.rejectUnknownKeys();
        return item;
    }
}
