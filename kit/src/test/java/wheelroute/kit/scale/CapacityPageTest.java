package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class CapacityPageTest {
    @Test
    public void shippedPageMatchesShippedResultsAndSize() throws IOException {
        Path docs = Path.of("..", "docs");
        ScaleResults results =
                ScaleResults.read(Files.readString(docs.resolve("capacity/slopes.json")));
        DeploymentSize size = DeploymentSize.read(docs.resolve("capacity/size.toml"));
        assertEquals(
                CapacityPage.mismatches(
                        Files.readString(docs.resolve("CAPACITY.md")),
                        new CapacityModel(results, size).tables()),
                List.of());
    }

    private static String filledPage(Map<String, String> tables) throws IOException {
        StringBuilder empty = new StringBuilder("# Page\n");
        for (String name : tables.keySet()) {
            empty.append("<!-- table: ").append(name).append(" -->\n<!-- end of table -->\n");
        }
        return CapacityPage.withTables(empty.toString(), tables);
    }

    @Test
    public void acceptsPageThatItHasFilled() throws IOException {
        Map<String, String> tables = SmallDeployment.tables();
        assertEquals(CapacityPage.mismatches(filledPage(tables), tables), List.of());
    }

    @Test
    public void findsEachChangedDigit() throws IOException {
        Map<String, String> tables = SmallDeployment.tables();
        String page = filledPage(tables);
        int checkedDigits = 0;
        for (int i = page.indexOf("<!-- table: dispatcher"); i < page.length(); i++) {
            if (Character.isDigit(page.charAt(i))) {
                char other = page.charAt(i) == '9' ? '1' : '9';
                String changed = page.substring(0, i) + other + page.substring(i + 1);
                assertEquals(
                        CapacityPage.mismatches(changed, tables).size(),
                        1,
                        changed.substring(i - 20, i + 20));
                checkedDigits++;
            }
        }
        assertTrue(checkedDigits > 100, "expected over 100 digits, got " + checkedDigits);
    }

    @Test
    public void rejectsMarkerOfUnknownTable() throws IOException {
        Map<String, String> tables = SmallDeployment.tables();
        String page =
                filledPage(tables).replace("<!-- table: peers -->", "<!-- table: nothing -->");
        String message =
                expectThrows(
                                CapacityPage.UnknownTableException.class,
                                () -> CapacityPage.mismatches(page, tables))
                        .getMessage();
        assertTrue(message.contains("'nothing'"), message);
    }

    @Test
    public void findsMissingLine() throws IOException {
        Map<String, String> tables = SmallDeployment.tables();
        String page = filledPage(tables).replaceAll("(?m)^\\| a zone.*\\R", "");
        assertTrue(CapacityPage.mismatches(page, tables).size() > 1);
    }

    @Test
    public void findsMissingTables() throws IOException {
        Map<String, String> tables = SmallDeployment.tables();
        assertEquals(CapacityPage.mismatches("", tables).size(), tables.size());
    }
}
