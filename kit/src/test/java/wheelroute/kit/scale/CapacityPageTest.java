package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A size worked out by hand, and a page that has to say what the slopes do. */
public class CapacityPageTest {
    private static final String SIZE =
            """
            name = "small"
            workers = 1000
            starts_per_s = 100
            running = 2000
            teams = 10
            zones = 4
            changes_per_day = 86400
            in_force_s = 17
            dispatchers = [10]
            core_share = 0.1
            memory_mb = 128
            control_bytes_per_s = 1000
            machines = 5
            machine_cores = 8
            machine_memory_mb = 1000
            cores_in_use = 0.5
            failures_per_day = 432
            restarts_per_day = 0.001
            rack_workers = 40
            cut_s = 100
            """;

    /** Exact lines: what comes of them can be reckoned in the head. */
    private static ScaleResults slopes() {
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        Object[][] lines = {
            {ScaleRun.REST_CPU, 0.001, 0.000001},
            {ScaleRun.LAUNCH_CPU, 0.001, 0.000002},
            {ScaleRun.COLD_LAUNCH_CPU, 0.001, 0.0},
            {ScaleRun.MEMORY, 40.0, 0.01},
            {ScaleRun.READY, 0.3, 0.0},
            {ScaleRun.LISTED, 0.4, 0.0},
            {ScaleRun.WHOLE_BYTES, 0.0, 100.0},
            {ScaleRun.CHANGES_CPU, 0.0, 0.002},
            {ScaleRun.CHANGES_BYTES, 0.0, 200.0},
            {ScaleRun.RATE_CPU, 0.0, 0.0},
            {ScaleRun.HELD_CPU, 0.0, 0.00001},
            {ScaleRun.HELD_MEMORY, 0.0, 0.05},
            {ScaleRun.TENANTS_CPU, 0.0, 0.00001},
            {ScaleRun.BATCH_CPU, 0.0, 0.0001},
            {ScaleRun.BATCH_IN_FORCE, 0.0, 0.0001},
            {ScaleRun.CALLS, 0.0, 1.0},
            {ScaleRun.LIST_BYTES, 0.0, 200.0},
            {ScaleRun.IN_FORCE_P50, 0.0, 0.0},
            {ScaleRun.IN_FORCE_P99, 0.0, 0.0},
            {ScaleRun.IN_FORCE_WORST, 0.0, 0.0}
        };
        for (Object[] line : lines) {
            LinearFit fit =
                    LinearFitTest.line((double) line[1], (double) line[2], 0, 1, 10, 20, 30, 40);
            fits.put((String) line[0], LinearFit.of((String) line[0], "x", "y", fit.points()));
        }
        return new ScaleResults(
                "",
                "a head",
                fits,
                Map.of(
                        ScaleRun.RESTART_WORST,
                        1.0,
                        ScaleRun.RESTART_CALLS,
                        9.0,
                        ScaleRun.REAL_CALLS,
                        1.0,
                        ScaleRun.HOLLOW_CALLS,
                        1.0,
                        ScaleRun.REAL_IN_FORCE,
                        1.0,
                        ScaleRun.HOLLOW_IN_FORCE,
                        1.0));
    }

    /** The page that this repository ships says what the slopes and the size that it ships do. */
    @Test
    public void ourOwnPageIsTrue() throws IOException {
        Path docs = Path.of("..", "docs");
        ScaleResults slopes =
                ScaleResults.read(Files.readString(docs.resolve("capacity/slopes.json")));
        DeploymentSize size = DeploymentSize.read(docs.resolve("capacity/size.toml"));
        assertEquals(
                CapacityPage.faults(
                        Files.readString(docs.resolve("CAPACITY.md")),
                        new CapacityModel(slopes, size).tables()),
                List.of());
    }

    private static DeploymentSize size() throws IOException {
        return DeploymentSize.read(Files.writeString(Files.createTempFile("size", ".toml"), SIZE));
    }

    private static Map<String, String> tables() throws IOException {
        return new CapacityModel(slopes(), size()).tables();
    }

    private static String cell(String table, int row, int column) {
        return table.split("\n")[row].split("\\|")[column].strip();
    }

    /** Rest 0.002; an attempt 0.001 + 0.002 + 0.0001 for ten tenants, ten a second; 200 held. */
    @Test
    public void theSizeIsWhatAHeadMakesOfIt() throws IOException {
        String dispatcher = tables().get("dispatcher");
        assertEquals(cell(dispatcher, 2, 2), "10, 200");
        assertTrue(cell(dispatcher, 2, 3).startsWith("0.00200 ± 0"), dispatcher);
        assertTrue(cell(dispatcher, 2, 4).startsWith("0.0350 ± 0"), dispatcher);
        assertEquals(cell(dispatcher, 2, 5), "fits");
        assertTrue(cell(dispatcher, 2, 6).startsWith("60.0 ± 0"), dispatcher);
        assertTrue(cell(dispatcher, 2, 8).startsWith("200"), dispatcher);
        String machines = tables().get("machines");
        assertTrue(cell(machines, 2, 2).startsWith("0.350 "), machines);
        assertTrue(cell(machines, 2, 4).startsWith("0.0875 "), machines);
        String list = tables().get("list-service");
        // Ten whole lists of 100,000 bytes; a hundred seconds' changes; a quarter of the workers.
        assertTrue(cell(list, 2, 4).startsWith("1.00 ") || cell(list, 2, 4).startsWith("1 "), list);
        assertTrue(cell(list, 2, 5).startsWith("0.100 "), list);
        assertTrue(cell(list, 2, 6).startsWith("0.250 "), list);
        assertEquals(new CapacityModel(slopes(), size()).verdict(), List.of());
    }

    @Test
    public void whatIsOverIsSaid() throws IOException {
        Path file = Files.createTempFile("size", ".toml");
        Files.writeString(file, SIZE.replace("core_share = 0.1", "core_share = 0.0175"));
        List<String> over = new CapacityModel(slopes(), DeploymentSize.read(file)).verdict();
        assertEquals(
                over, List.of("processor time at the peak with 10 dispatchers: over, 2.00 times"));
    }

    @DataProvider
    public Object[][] faultySizes() {
        return new Object[][] {
            {"workers = 1000", "", "'workers' is missing"},
            {"workers = 1000", "workers = \"many\"", "'workers' is no number above 0: many"},
            {"workers = 1000", "workers = 0", "'workers' is no number above 0: 0"},
            {"dispatchers = [10]", "dispatchers = []", "'dispatchers' is no list"},
            {
                "dispatchers = [10]",
                "dispatchers = [10, -1]",
                "'dispatchers' is no number above 0: -1"
            },
            {"name = \"small\"", "", "'name' is missing"},
            {"zones = 4", "zones = 4\nshards = 3", "'shards' is no key"},
            {"zones = 4", "zones = = 4", "line 6"},
        };
    }

    @Test(dataProvider = "faultySizes")
    public void aFaultySizeNamesItsPlace(String is, String becomes, String words)
            throws IOException {
        Path file =
                Files.writeString(Files.createTempFile("size", ".toml"), SIZE.replace(is, becomes));
        String message =
                expectThrows(IOException.class, () -> DeploymentSize.read(file)).getMessage();
        assertTrue(message.contains(words) && message.contains(file.toString()), message);
    }

    /**
     * Kept and read again they are the same, and a slope that was changed by hand is drawn anew.
     */
    @Test
    public void slopesSurviveTheirFile() throws IOException {
        String json = slopes().json();
        assertEquals(ScaleResults.read(json), slopes());
        String changed = json.replace("\"slope\" : 0.002", "\"slope\" : 0.003");
        assertTrue(!changed.equals(json), json);
        assertEquals(ScaleResults.read(changed), slopes());
        assertTrue(
                expectThrows(IOException.class, () -> ScaleResults.read("{\"version\":9}"))
                        .getMessage()
                        .contains("another version"));
        assertTrue(
                expectThrows(
                                IOException.class,
                                () ->
                                        ScaleResults.read(
                                                "{\"fits\":[{\"name\":\"a\",\"points\":"
                                                        + "[[1,2]]}]}"))
                        .getMessage()
                        .contains("a was measured at 1 sizes"));
    }

    @Test
    public void aPageSaysWhatTheSlopesDo() throws IOException {
        StringBuilder empty = new StringBuilder("# Page\n");
        tables().keySet()
                .forEach(
                        name ->
                                empty.append("<!-- table: ")
                                        .append(name)
                                        .append(" -->\n<!-- end of table -->\n"));
        String page = CapacityPage.filled(empty.toString(), tables());
        assertEquals(CapacityPage.faults(page, tables()), List.of());
        // Any digit of any table.
        int found = 0;
        for (int i = page.indexOf("<!-- table: dispatcher"); i < page.length(); i++) {
            if (Character.isDigit(page.charAt(i))) {
                char other = page.charAt(i) == '9' ? '1' : '9';
                String changed = page.substring(0, i) + other + page.substring(i + 1);
                assertEquals(
                        CapacityPage.faults(changed, tables()).size(),
                        1,
                        changed.substring(i - 20, i + 20));
                found++;
            }
        }
        assertTrue(found > 100, found + " digits");
        String without = page.replace("<!-- table: peers -->", "<!-- table: nothing -->");
        assertTrue(
                expectThrows(IOException.class, () -> CapacityPage.faults(without, tables()))
                        .getMessage()
                        .contains("'nothing'"));
        String line = page.replaceAll("(?m)^\\| a zone.*\\R", "");
        assertTrue(CapacityPage.faults(line, tables()).size() > 1);
        assertEquals(CapacityPage.faults("", tables()).size(), tables().size());
    }
}
