package wheelroute;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that each log line quoted on the on-call page occurs in the classes named next to it. */
public class OnCallPageTest {
    private static final Path PAGE = Path.of("../docs/on-call.md");
    private static final Path SOURCES = Path.of("src/main/java");

    private static final Pattern QUOTE = Pattern.compile("\"([^\"]+)\"");
    private static final Pattern CLASS_NAME = Pattern.compile("`(\\w+)`");

    /** Matches the join of a literal split over two lines, which is removed before the search. */
    private static final Pattern SPLIT_LITERAL = Pattern.compile("\"\\s*\\+\\s*\"");

    private static String section(String page, String title) {
        int start = page.indexOf("## " + title);
        assertTrue(start >= 0, "the page has no section \"" + title + "\"");
        int end = page.indexOf("\n## ", start + 1);
        return page.substring(start, end < 0 ? page.length() : end);
    }

    private static Map<String, String> sourcesByClass() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .collect(
                            Collectors.toMap(
                                    file -> file.getFileName().toString().replace(".java", ""),
                                    OnCallPageTest::joinedSource,
                                    (first, second) -> first + second));
        }
    }

    private static String joinedSource(Path file) {
        try {
            return SPLIT_LITERAL.matcher(Files.readString(file)).replaceAll("");
        } catch (IOException e) {
            throw new IllegalStateException("cannot read " + file, e);
        }
    }

    private static List<String> matches(Pattern pattern, String text) {
        List<String> found = new ArrayList<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }

    /** Returns a row for each quoted text, with its placeholders as logged, and its classes. */
    @DataProvider
    public Object[][] quotedLines() throws IOException {
        List<Object[]> rows = new ArrayList<>();
        for (String row : section(Files.readString(PAGE), "Log lines").split("\n")) {
            String[] cells = row.split("\\|");
            if (cells.length > 2) {
                for (String quote : matches(QUOTE, cells[1])) {
                    rows.add(
                            new Object[] {
                                quote.replace("...", "{}"), matches(CLASS_NAME, cells[2])
                            });
                }
            }
        }
        assertFalse(rows.isEmpty(), "the page quotes no log line");
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "quotedLines")
    public void quotesOnlyLinesThatAreLogged(String quote, List<String> classes)
            throws IOException {
        Map<String, String> sources = sourcesByClass();
        assertFalse(classes.isEmpty(), "the page names no class for \"" + quote + "\"");
        for (String name : classes) {
            assertTrue(sources.containsKey(name), "no source file of class " + name);
            assertTrue(sources.get(name).contains(quote), name + " does not log: " + quote);
        }
    }
}
