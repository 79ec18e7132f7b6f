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

/** Pages that say which test holds a behaviour: each test that they name must exist. */
public class DocumentedTestsTest {
    private static final Path DOCS = Path.of("../docs");
    private static final List<Path> TEST_SOURCES =
            List.of(Path.of("src/test/java"), Path.of("../kit/src/test/java"));

    /** A test class with or without a method, or one more method of the class named before. */
    private static final Pattern NAMED_TEST =
            Pattern.compile("`(?:(\\w+Test)(?:\\.(\\w+))?|\\.(\\w+))`");

    @DataProvider
    public Object[][] pages() {
        return new Object[][] {{"race-conditions.md"}, {"acceptance-terms.md"}};
    }

    @Test(dataProvider = "pages")
    public void namesOnlyTestsThatExist(String page) throws IOException {
        Matcher named = NAMED_TEST.matcher(Files.readString(DOCS.resolve(page)));
        List<String> missing = new ArrayList<>();
        String testClass = "";
        String source = "";
        int tests = 0;
        while (named.find()) {
            tests++;
            if (named.group(1) != null) {
                testClass = named.group(1);
                source = source(testClass);
            }
            String method = named.group(2) != null ? named.group(2) : named.group(3);
            if (source.isEmpty() || (method != null && !source.contains(" " + method + "("))) {
                missing.add(testClass + "." + method);
            }
        }
        assertTrue(tests > 20, "only " + tests + " tests are named");
        assertTrue(missing.isEmpty(), "no such tests: " + missing);
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
