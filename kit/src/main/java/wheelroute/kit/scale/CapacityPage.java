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
 * A page whose tables stand between marks: worked out again, they must be the same to the letter.
 */
public final class CapacityPage {
    private static final Pattern TABLE =
            Pattern.compile(
                    "(<!-- table: ([a-z-]+) -->\\R)(.*?)(<!-- end of table -->)", Pattern.DOTALL);

    private CapacityPage() {}

    /** The page with its tables as they are to be. */
    public static String filled(String page, Map<String, String> tables) throws IOException {
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

    /** What the page says that the slopes do not; empty where it is true. */
    public static List<String> faults(String page, Map<String, String> tables) throws IOException {
        List<String> faults = new ArrayList<>();
        Set<String> missing = new LinkedHashSet<>(tables.keySet());
        Matcher found = TABLE.matcher(page);
        while (found.find()) {
            String name = found.group(2);
            missing.remove(name);
            String[] said = found.group(3).split("\n");
            String[] worked = table(tables, name).split("\n");
            for (int i = 0; i < Math.max(said.length, worked.length); i++) {
                String is = i < said.length ? said[i] : "(no line)";
                String should = i < worked.length ? worked[i] : "(no line)";
                if (!is.equals(should)) {
                    faults.add(
                            "table '"
                                    + name
                                    + "', line "
                                    + (i + 1)
                                    + ": the page says "
                                    + is
                                    + "\n    the slopes say "
                                    + should);
                }
            }
        }
        missing.forEach(name -> faults.add("table '" + name + "' is not on the page"));
        return faults;
    }

    private static String table(Map<String, String> tables, String name) throws IOException {
        String table = tables.get(name);
        if (table == null) {
            throw new IOException("the page wants a table '" + name + "', which there is none of");
        }
        return table;
    }
}
