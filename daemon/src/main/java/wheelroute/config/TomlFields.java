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
 * Reads the fields of one TOML table and checks them. Faults are collected with their line, and
 * reading continues with a substitute value, so that all faults of a file are found at once.
 */
public final class TomlFields {
    /** Constants whose names in TOML files are not derived from their own. */
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
     * @param key path of the field at fault; may be empty
     * @param message what is wrong, as the predicate of a sentence about the key
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

    /**
     * Records a fault of a key, at the key's line, or at the table's first if the key is absent.
     */
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
     * A number within bounds.
     *
     * @param defaultValue NaN for a required key
     * @return the minimum after a fault in the value, NaN if a required key is missing
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
     * A whole number within bounds.
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

    /** Without decimals where it is whole. */
    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < Integer.MAX_VALUE
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /**
     * A text.
     *
     * @param defaultValue null for a required key
     * @return empty after a fault; never null
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

    /** True or false; the default also after a fault. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            addFault(key, "is not true or false: " + value);
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /**
     * A constant by its {@link #configuredName}.
     *
     * @param defaultValue null for a required key
     * @return the type's first constant after a fault
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

    /** A constant's name in TOML files: its own in lower case with dashes, unless listed above. */
    public static String configuredName(Enum<?> constant) {
        String configured = CONFIGURED_NAMES.get(constant);
        return configured != null
                ? configured
                : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A list of texts, each of which must be allowed; others are left out with a fault. */
    public List<String> textList(String key, List<String> defaultValue, List<String> allowed) {
        return textList(
                key, defaultValue, allowed::contains, "none of " + String.join(", ", allowed));
    }

    /** A list of any texts; empty if the key is absent. */
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

    /** The table under this key; an empty one if it is absent or after a fault. */
    public TomlFields table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            addFault(key, "is not a table");
            value = null;
        }
        TomlTable subtable = value == null ? Toml.parse("") : (TomlTable) value;
        return new TomlFields(subtable, path + key + ".", faults);
    }

    /** The list of tables under this key; empty if it is absent. */
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

    /** All keys of the table. */
    public Set<String> keys() {
        return table.keySet();
    }

    /**
     * Adds a fault for each key that was not read, so that a misspelled key does not pass for an
     * absent one. Called after the last field.
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
