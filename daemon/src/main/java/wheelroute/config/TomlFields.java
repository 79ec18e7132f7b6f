package wheelroute.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import wheelroute.decision.Idempotency;

/**
 * One table of a file, read key by key; every fault is noted with its line, and reading goes on.
 */
public final class TomlFields {
    /** Constants that a configuration file knows by another name than their own. */
    private static final Map<Enum<?>, String> CONFIGURED_NAMES =
            Map.of(
                    Idempotency.IDEMPOTENT_BY_KEY, "deduplicated",
                    Idempotency.NON_IDEMPOTENT, "unrepeatable");

    private final TomlTable table;
    private final String path;
    private final List<Fault> faults;
    private final Set<String> known = new HashSet<>();

    /** What is wrong, where. */
    public record Fault(int line, String key, String what) {
        @Override
        public String toString() {
            return "line " + line + ": " + (key.isEmpty() ? "" : key + " ") + what;
        }
    }

    public TomlFields(TomlTable table, String path, List<Fault> faults) {
        this.table = table;
        this.path = path;
        this.faults = faults;
    }

    private int line(String key) {
        TomlPosition position = key == null ? null : table.inputPositionOf(List.of(key));
        if (position == null) {
            position =
                    table.keySet().stream()
                            .map(k -> table.inputPositionOf(List.of(k)))
                            .filter(p -> p != null)
                            .findFirst()
                            .orElse(null);
        }
        return position == null ? 1 : position.line();
    }

    public void fault(String key, String what) {
        faults.add(new Fault(line(key), path + key, what));
    }

    public boolean has(String key) {
        return table.contains(List.of(key));
    }

    private Object value(String key) {
        known.add(key);
        return table.get(List.of(key));
    }

    /**
     * With no value it is the usual one; NaN for a usual one makes the key one that must be there.
     */
    public double number(String key, double usual, double least, double most) {
        Object value = value(key);
        if (value == null) {
            if (Double.isNaN(usual)) {
                fault(key, "is missing");
            }
            return usual;
        }
        if (!(value instanceof Long) && !(value instanceof Double)) {
            fault(key, "is not a number: " + value);
            return least;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= least && number <= most)) {
            fault(key, "is not from " + plain(least) + " to " + plain(most) + ": " + plain(number));
            return least;
        }
        return number;
    }

    public int whole(String key, double usual, int least, int most) {
        double number = number(key, usual, least, most);
        if (number != Math.rint(number)) {
            fault(key, "is not a whole number: " + number);
        }
        return Double.isNaN(number) ? least : (int) number;
    }

    /** Plain decimals, as a person writes them. */
    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < Integer.MAX_VALUE
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /** Null for a usual one makes the key one that must be there. */
    public String text(String key, String usual) {
        Object value = value(key);
        if (value == null) {
            if (usual == null) {
                fault(key, "is missing");
            }
            return usual == null ? "" : usual;
        }
        if (!(value instanceof String string)) {
            fault(key, "is not a text: " + value);
            return "";
        }
        return string;
    }

    public boolean flag(String key, boolean usual) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            fault(key, "is not true or false: " + value);
            return usual;
        }
        return value == null ? usual : (Boolean) value;
    }

    /** Names as a file writes them: small letters, dashes. */
    public <E extends Enum<E>> E oneOf(String key, E usual, Class<E> of) {
        String text = text(key, usual == null ? null : word(usual));
        List<String> words = new ArrayList<>();
        for (E constant : of.getEnumConstants()) {
            if (word(constant).equals(text)) {
                return constant;
            }
            words.add(word(constant));
        }
        if (!text.isEmpty()) {
            fault(key, "is none of " + String.join(", ", words) + ": " + text);
        }
        return of.getEnumConstants()[0];
    }

    public static String word(Enum<?> constant) {
        String configured = CONFIGURED_NAMES.get(constant);
        return configured != null
                ? configured
                : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    public List<String> texts(String key, List<String> usual, List<String> allowed) {
        return texts(key, usual, allowed::contains, "none of " + String.join(", ", allowed));
    }

    /** Whatever texts are listed there. */
    public List<String> anyTexts(String key) {
        return texts(key, List.of(), text -> true, "not a text");
    }

    private List<String> texts(
            String key, List<String> usual, Predicate<String> allowed, String otherwise) {
        Object value = value(key);
        if (value == null) {
            return usual;
        }
        List<String> texts = new ArrayList<>();
        if (!(value instanceof TomlArray tomlArray)) {
            fault(key, "is not a list");
            return usual;
        }
        for (Object item : tomlArray.toList()) {
            if (item instanceof String text && allowed.test(text)) {
                texts.add(text);
            } else {
                fault(key, "has an item that is " + otherwise + ": " + item);
            }
        }
        return texts;
    }

    /** The table of that name; an empty one if it is not there. */
    public TomlFields table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            fault(key, "is not a table");
            value = null;
        }
        return new TomlFields(
                value == null ? Toml.parse("") : (TomlTable) value, path + key + ".", faults);
    }

    public List<TomlFields> tables(String key) {
        Object value = value(key);
        List<TomlFields> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!(value instanceof TomlArray array)) {
            fault(key, "is not a list of tables");
            return tables;
        }

        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable item) {
                tables.add(new TomlFields(item, path + key + "[" + i + "].", faults));
            } else {
                fault(key, "has an item that is not a table: " + array.get(i));
            }
        }
        return tables;
    }

    public Set<String> names() {
        return table.keySet();
    }

    /**
     * Every key that nothing asked for is a fault: a slip of the pen must not pass as a default.
     */
    public void done() {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                fault(
                        key,
                        "is not known; known here: "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }
}
