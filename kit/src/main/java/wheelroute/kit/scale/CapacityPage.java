package wheelroute.kit.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replaces the generated tables between the marker comments of a Markdown page, or compares them to
 * newly generated tables.
 */
public final class CapacityPage {
    private static final Pattern TABLE =
            Pattern.compile(
                    "(<!-- table: ([a-z-]+) -->\\R)(.*?)(<!-- end of table -->)", Pattern.DOTALL);

    /** Thrown if a page has a marker with the name of a table that is not generated. */
    public static final class UnknownTableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnknownTableException(String name) {
            super("the page has a marker for an unknown table '" + name + "'");
        }
    }

    private CapacityPage() {}

    /**
     * Returns the page with its tables replaced.
     *
     * @param tables Markdown text of each table, by the name in its marker
     */
    public static String withTables(String page, Map<String, String> tables)
            throws UnknownTableException {
        StringBuilder out = new StringBuilder();
        Matcher matcher = TABLE.matcher(page);
        while (matcher.find()) {
            matcher.appendReplacement(
                    out,
                    Matcher.quoteReplacement(
                            matcher.group(1) + table(tables, matcher.group(2)) + matcher.group(4)));
        }
        return matcher.appendTail(out).toString();
    }

    /**
     * Returns a description of each line of the page's tables that differs from the generated one,
     * and of each missing table.
     *
     * @param tables Markdown text of each generated table, by the name in its marker
     */
    public static List<String> mismatches(String page, Map<String, String> tables)
            throws UnknownTableException {
        List<String> mismatches = new ArrayList<>();
        Set<String> missing = new LinkedHashSet<>(tables.keySet());
        Matcher matcher = TABLE.matcher(page);
        while (matcher.find()) {
            String name = matcher.group(2);
            missing.remove(name);
            mismatches.addAll(mismatches(name, matcher.group(3), table(tables, name)));
        }
        missing.forEach(name -> mismatches.add("table '" + name + "' is not on the page"));
        return mismatches;
    }

    private static List<String> mismatches(String name, String actual, String expected) {
        String[] actualLines = actual.split("\n");
        String[] expectedLines = expected.split("\n");
        List<String> mismatches = new ArrayList<>();
        for (int i = 0; i < Math.max(actualLines.length, expectedLines.length); i++) {
            String actualLine = line(actualLines, i);
            String expectedLine = line(expectedLines, i);
            if (!actualLine.equals(expectedLine)) {
                mismatches.add(
                        "table '"
                                + name
                                + "', line "
                                + (i + 1)
                                + ": the page has "
                                + actualLine
                                + "\n    expected "
                                + expectedLine);
            }
        }
        return mismatches;
    }

    private static String line(String[] lines, int index) {
        return index < lines.length ? lines[index] : "(no line)";
    }

    private static String table(Map<String, String> tables, String name)
            throws UnknownTableException {
        String table = tables.get(name);
        if (table == null) {
            throw new UnknownTableException(name);
        }
        return table;
    }
}
