package wheelroute;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the tests that the documentation names for a behaviour exist. */
public class DocumentedTestsTest {
    private static final Path DOCS = Path.of("../docs");
    private static final List<Path> TEST_SOURCES =
            List.of(Path.of("src/test/java"), Path.of("../kit/src/test/java"));

    /** Matches a test class with or without a method, or a method of the class named before. */
    private static final Pattern NAMED_TEST =
            Pattern.compile("`(?:(\\w+Test)(?:\\.(\\w+))?|\\.(\\w+))`");

    @DataProvider
    public Object[][] pages() {
        return new Object[][] {{"race-conditions.md"}, {"acceptance-terms.md"}};
    }

    @Test(dataProvider = "pages")
    public void namesOnlyTestsThatExist(String page) throws IOException {
        Matcher reference = NAMED_TEST.matcher(Files.readString(DOCS.resolve(page)));
        List<String> missing = new ArrayList<>();
        String testClass = "";
        String source = "";
        int tests = 0;
        while (reference.find()) {
            tests++;
            if (reference.group(1) != null) {
                testClass = reference.group(1);
                source = source(testClass);
            }
            String method = reference.group(2) != null ? reference.group(2) : reference.group(3);
            if (source.isEmpty() || (method != null && !source.contains(" " + method + "("))) {
                missing.add(testClass + "." + method);
            }
        }
        assertTrue(tests > 20, page + " names " + tests + " tests, expected more than 20");
        assertTrue(missing.isEmpty(), page + " names tests that do not exist: " + missing);
    }

    private static String source(String testClass) throws IOException {
        for (Path root : TEST_SOURCES) {
            try (Stream<Path> files = Files.walk(root)) {
                for (Path file : files.toList()) {
                    if (file.endsWith(testClass + ".java")) {
                        return Files.readString(file);
                    }
                }
            }
        }
        return "";
    }
}
