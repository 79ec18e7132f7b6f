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
 * Reads and checks the fields of one TOML table. Faults are collected with their lines, and reading
 * continues with a substitute value, so that all faults of a file are reported at once.
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
    private final List<Fault> faults;
    private final Set<String> knownKeys = new HashSet<>();

    /**
     * A fault in a file.
     *
     * @param line from 1
     * @param key path of the field; may be empty
     * @param message the fault, as the predicate of a sentence about the key
     */
    public record Fault(int line, String key, String message) {
        @Override
        public String toString() {
            return "line " + line + ": " + (key.isEmpty() ? "" : key + " ") + message;
        }
    }

    /**
     * Creates a reader of one table.
     *
     * @param path of the table, with a dot at its end; empty for the root
     * @param faults to which the faults found are added
     */
    public TomlFields(TomlTable table, String path, List<Fault> faults) {
        this.table = table;
        this.path = path;
        this.faults = faults;
    }

    /** Records a fault at the line of the key, or of the table's first key if it is absent. */
    public void addFault(String key, String message) {
        faults.add(new Fault(line(key), path + key, message));
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

    /** Whether the table has this key. */
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
     * @return the minimum if the value has a fault, NaN if a required key is missing
     */
    public double number(String key, double defaultValue, double min, double max) {
        Object value = value(key);
        if (value == null) {
            if (Double.isNaN(defaultValue)) {
                addFault(key, "is missing");
            }
            return defaultValue;
        }
        if (!(value instanceof Long) && !(value instanceof Double)) {
            addFault(key, "is not a number: " + value);
            return min;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            addFault(key, "is not from " + plain(min) + " to " + plain(max) + ": " + plain(number));
            return min;
        }
        return number;
    }

    /**
     * Reads a whole number within bounds.
     *
     * @param defaultValue NaN for a required key
     * @return the minimum if a required key is missing
     */
    public int integer(String key, double defaultValue, int min, int max) {
        double number = number(key, defaultValue, min, max);
        if (number != Math.rint(number)) {
            addFault(key, "is not a whole number: " + number);
        }
        return Double.isNaN(number) ? min : (int) number;
    }

    /** Formats a number; a whole number without a decimal point. */
    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < Integer.MAX_VALUE
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /**
     * Reads a text.
     *
     * @param defaultValue null for a required key
     * @return empty if there is a fault; never null
     */
    public String text(String key, String defaultValue) {
        Object value = value(key);
        if (value == null) {
            if (defaultValue == null) {
                addFault(key, "is missing");
            }
            return defaultValue == null ? "" : defaultValue;
        }
        if (!(value instanceof String text)) {
            addFault(key, "is not a text: " + value);
            return "";
        }
        return text;
    }

    /** Reads true or false; returns the default if the key is absent or has a fault. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            addFault(key, "is not true or false: " + value);
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /**
     * Reads a constant by its {@link #configuredName}.
     *
     * @param defaultValue null for a required key
     * @return the type's first constant if there is a fault
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
            addFault(key, "is none of " + String.join(", ", names) + ": " + text);
        }
        return type.getEnumConstants()[0];
    }

    /** Returns the name of a constant in TOML files: in lower case, with dashes. */
    public static String configuredName(Enum<?> constant) {
        String configured = CONFIGURED_NAMES.get(constant);
        return configured != null
                ? configured
                : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a list of texts. Records a fault for each that is not allowed, and omits it. */
    public List<String> textList(String key, List<String> defaultValue, List<String> allowed) {
        return textList(
                key, defaultValue, allowed::contains, "none of " + String.join(", ", allowed));
    }

    /** Reads a list of any texts; empty if the key is absent. */
    public List<String> anyTextList(String key) {
        return textList(key, List.of(), text -> true, "not a text");
    }

    private List<String> textList(
            String key, List<String> defaultValue, Predicate<String> allowed, String faultOfItem) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof TomlArray array)) {
            addFault(key, "is not a list");
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        for (Object item : array.toList()) {
            if (item instanceof String text && allowed.test(text)) {
                texts.add(text);
            } else {
                addFault(key, "has an item that is " + faultOfItem + ": " + item);
            }
        }
        return texts;
    }

    /** Returns the table under this key; an empty one if it is absent or there is a fault. */
    public TomlFields table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            addFault(key, "is not a table");
            value = null;
        }
        TomlTable subtable = value == null ? Toml.parse("") : (TomlTable) value;
        return new TomlFields(subtable, path + key + ".", faults);
    }

    /** Returns the list of tables under this key; empty if it is absent. */
    public List<TomlFields> tables(String key) {
        Object value = value(key);
        List<TomlFields> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!(value instanceof TomlArray array)) {
            addFault(key, "is not a list of tables");
            return tables;
        }
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable item) {
                tables.add(new TomlFields(item, path + key + "[" + i + "].", faults));
            } else {
                addFault(key, "has an item that is not a table: " + array.get(i));
            }
        }
        return tables;
    }

    /** Returns all keys of the table. */
    public Set<String> keys() {
        return table.keySet();
    }

    /**
     * Records a fault for each key that was not read, since a misspelled key would otherwise be
     * taken for an absent one. Called after all fields have been read.
     */
    public void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                List<String> sortedKeys = knownKeys.stream().sorted().toList();
                addFault(key, "is not known; known here: " + String.join(", ", sortedKeys));
            }
        }
    }
}
