package wheelroute.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import wheelroute.decision.Idempotency;

/**
 * Reads and checks the fields of one TOML table. Errors are collected with their lines, and reading
 * continues with a substitute value, so that all errors of a file are reported at once.
 *
 * <p>Not thread-safe.
 */
public final class TomlFields {
    /** Constants whose names in TOML files are not derived from their own names. */
    private static final Map<Enum<?>, String> CONFIGURED_NAMES =
            Map.of(
                    Idempotency.IDEMPOTENT_BY_KEY, "deduplicated",
                    Idempotency.NON_IDEMPOTENT, "unrepeatable");

    private final TomlTable table;
    private final String path;
    private final List<FieldError> errors;
    private final Set<String> knownKeys = new HashSet<>();

    /**
     * An error in a file.
     *
     * @param line line number, from 1
     * @param key path of the field; may be empty
     * @param message what is wrong, as the predicate of a sentence about the key
     */
    public record FieldError(int line, String key, String message) {
        @Override
        public String toString() {
            return "line " + line + ": " + (key.isEmpty() ? "" : key + " ") + message;
        }
    }

    /**
     * Creates a reader of one table.
     *
     * @param path path of the table, with a dot at its end; empty for the root
     * @param errors list to which the reader adds the errors that it finds
     */
    public TomlFields(TomlTable table, String path, List<FieldError> errors) {
        this.table = table;
        this.path = path;
        this.errors = errors;
    }

    /** Records an error at the line of the key, or of the table's first key if it is absent. */
    public void addError(String key, String message) {
        errors.add(new FieldError(line(key), path + key, message));
    }

    private int line(String key) {
        TomlPosition position = key == null ? null : table.inputPositionOf(List.of(key));
        if (position == null) {
            position =
                    table.keySet().stream()
                            .map(other -> table.inputPositionOf(List.of(other)))
                            .filter(Objects::nonNull)
                            .findFirst()
                            .orElse(null);
        }
        return position == null ? 1 : position.line();
    }

    /** Returns whether the table has this key. */
    public boolean contains(String key) {
        return table.contains(List.of(key));
    }

    private Object value(String key) {
        knownKeys.add(key);
        return table.get(List.of(key));
    }

    /**
     * Reads a number within bounds.
     *
     * @param defaultValue NaN for a required key
     * @return the minimum if the value is invalid; NaN if a required key is missing
     */
    public double number(String key, double defaultValue, double min, double max) {
        Object value = value(key);
        if (value == null) {
            if (Double.isNaN(defaultValue)) {
                addError(key, "is missing");
            }
            return defaultValue;
        }
        if (!(value instanceof Long) && !(value instanceof Double)) {
            addError(key, "is not a number: " + value);
            return min;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            addError(
                    key,
                    "is not from " + format(min) + " to " + format(max) + ": " + format(number));
            return min;
        }
        return number;
    }

    /**
     * Reads a whole number within bounds.
     *
     * @param defaultValue NaN for a required key
     * @return the minimum if the value is invalid or a required key is missing; a fraction is cut
     *     off
     */
    public int integer(String key, double defaultValue, int min, int max) {
        double number = number(key, defaultValue, min, max);
        if (number != Math.rint(number)) {
            addError(key, "is not a whole number: " + number);
        }
        return Double.isNaN(number) ? min : (int) number;
    }

    /** Formats a number; a whole number without a decimal point. */
    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < Integer.MAX_VALUE
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /**
     * Reads a text.
     *
     * @param defaultValue null for a required key
     * @return empty if the value is invalid or a required key is missing; never null
     */
    public String text(String key, String defaultValue) {
        Object value = value(key);
        if (value == null) {
            if (defaultValue == null) {
                addError(key, "is missing");
            }
            return defaultValue == null ? "" : defaultValue;
        }
        if (!(value instanceof String text)) {
            addError(key, "is not a string: " + value);
            return "";
        }
        return text;
    }

    /** Reads true or false; returns the default if the key is absent or its value is invalid. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            addError(key, "is not true or false: " + value);
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /**
     * Reads a constant by its {@link #configuredName}.
     *
     * @param defaultValue null for a required key
     * @return the type's first constant if the value is invalid or a required key is missing
     */
    public <E extends Enum<E>> E enumConstant(String key, E defaultValue, Class<E> type) {
        String text = text(key, defaultValue == null ? null : configuredName(defaultValue));
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = configuredName(constant);
            if (name.equals(text)) {
                return constant;
            }
            names.add(name);
        }
        if (!text.isEmpty()) {
            addError(key, "is none of " + String.join(", ", names) + ": " + text);
        }
        return type.getEnumConstants()[0];
    }

    /** Returns the name of a constant in TOML files, by default in lower case with dashes. */
    public static String configuredName(Enum<?> constant) {
        String configured = CONFIGURED_NAMES.get(constant);
        return configured != null
                ? configured
                : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a list of texts. Records an error for each that is not allowed, and omits it. */
    public List<String> textList(String key, List<String> defaultValue, List<String> allowed) {
        return textList(
                key, defaultValue, allowed::contains, "none of " + String.join(", ", allowed));
    }

    /** Reads a list of texts without a restriction on them; empty if the key is absent. */
    public List<String> anyTextList(String key) {
        return textList(key, List.of(), text -> true, "not a string");
    }

    private List<String> textList(
            String key, List<String> defaultValue, Predicate<String> allowed, String itemError) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof TomlArray array)) {
            addError(key, "is not a list");
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        for (Object item : array.toList()) {
            if (item instanceof String text && allowed.test(text)) {
                texts.add(text);
            } else {
                addError(key, "has an item that is " + itemError + ": " + item);
            }
        }
        return texts;
    }

    /** Returns the table under this key; an empty one if the key is absent or not a table. */
    public TomlFields table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            addError(key, "is not a table");
            value = null;
        }
        TomlTable subtable = value == null ? Toml.parse("") : (TomlTable) value;
        return new TomlFields(subtable, path + key + ".", errors);
    }

    /** Returns the list of tables under this key; empty if the key is absent. */
    public List<TomlFields> tables(String key) {
        Object value = value(key);
        List<TomlFields> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!(value instanceof TomlArray array)) {
            addError(key, "is not a list of tables");
            return tables;
        }
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable item) {
                tables.add(new TomlFields(item, path + key + "[" + i + "].", errors));
            } else {
                addError(key, "has an item that is not a table: " + array.get(i));
            }
        }
        return tables;
    }

    /** Returns all keys of the table. */
    public Set<String> keys() {
        return table.keySet();
    }

    /**
     * Records an error for each key that was not read, because a misspelled key would otherwise
     * count as absent. Must be called after all fields have been read.
     */
    public void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                List<String> sortedKeys = knownKeys.stream().sorted().toList();
                addError(key, "is not known; known here: " + String.join(", ", sortedKeys));
            }
        }
    }
}
