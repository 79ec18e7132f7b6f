package wheelroute.kit.scenario;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the tables and values of a TOML file in the order of the calls. */
final class TomlWriter {
    private static final char DELETE = 0x7f;

    private final StringBuilder out = new StringBuilder();

    String text() {
        return out.toString();
    }

    TomlWriter table(String name) {
        out.append("\n[").append(name).append("]\n");
        return this;
    }

    /** Begins an element of an array of tables. */
    TomlWriter arrayTable(String name) {
        out.append("\n[[").append(name).append("]]\n");
        return this;
    }

    private TomlWriter value(String key, String value) {
        out.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    /** Writes a number without an exponent, in a form that is parsed as the same number. */
    TomlWriter number(String key, double value) {
        boolean isWhole = value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE;
        return value(
                key,
                isWhole
                        ? Long.toString((long) value)
                        : new BigDecimal(Double.toString(value)).toPlainString());
    }

    TomlWriter flag(String key, boolean value) {
        return value(key, Boolean.toString(value));
    }

    TomlWriter text(String key, String value) {
        return value(key, quoted(value));
    }

    TomlWriter textUnlessEmpty(String key, String value) {
        return value.isEmpty() ? this : text(key, value);
    }

    TomlWriter texts(String key, List<String> values) {
        return value(
                key,
                values.stream()
                        .map(TomlWriter::quoted)
                        .collect(Collectors.joining(", ", "[", "]")));
    }

    /** Writes a table of texts; nothing if there are no values. */
    void texts(String table, Map<String, String> values) {
        if (!values.isEmpty()) {
            table(table);
            values.forEach((key, value) -> text(quoted(key), value));
        }
    }

    static String quoted(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c == DELETE) {
                quoted.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }
}
