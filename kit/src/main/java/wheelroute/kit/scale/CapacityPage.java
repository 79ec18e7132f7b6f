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
 * A Markdown page that contains generated tables between marker comments. The tables of the page
 * can be replaced, or compared to newly generated ones.
 */
public final class CapacityPage {
    private static final Pattern TABLE =
            Pattern.compile(
                    "(<!-- table: ([a-z-]+) -->\\R)(.*?)(<!-- end of table -->)", Pattern.DOTALL);

    /** Thrown if a page has a marker for a table that is not generated. */
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
     * @param tables Markdown text by name
     */
    public static String withTables(String page, Map<String, String> tables)
            throws UnknownTableException {
        StringBuilder out = new StringBuilder();
        Matcher found = TABLE.matcher(page);
        while (found.find()) {
            found.appendReplacement(
                    out,
                    Matcher.quoteReplacement(
                            found.group(1) + table(tables, found.group(2)) + found.group(4)));
        }
        return found.appendTail(out).toString();
    }

    /**
     * Returns a description of each line of the page's tables that differs, and of each missing
     * table.
     */
    public static List<String> mismatches(String page, Map<String, String> tables)
            throws UnknownTableException {
        List<String> mismatches = new ArrayList<>();
        Set<String> missing = new LinkedHashSet<>(tables.keySet());
        Matcher found = TABLE.matcher(page);
        while (found.find()) {
            String name = found.group(2);
            missing.remove(name);
            mismatches.addAll(mismatches(name, found.group(3), table(tables, name)));
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
