package wheelroute.kit.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.scenario.ScenarioLibrary;

public class RehearseTest {
    private final CommandLineHarness harness = new CommandLineHarness();
    private Path directory;
    private Path scenario;
    private Path json;
    private Path html;

    @BeforeMethod
    public void createDirectory() throws Exception {
        directory = Files.createTempDirectory("rehearse");
        scenario = directory.resolve("s.toml");
        json = directory.resolve("out.json");
        html = directory.resolve("out.html");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteDirectory() throws Exception {
        for (Path path : new Path[] {scenario, json, html, directory}) {
            Files.deleteIfExists(path);
        }
    }

    @DataProvider
    public Object[][] expectations() {
        return new Object[][] {
            {"", ExitCode.SUCCESS},
            {"[expect.service]\nleast = 1.01\n", ExitCode.CHECK_FAILED},
            {"[expect.bounced]\nmost = -1\n", ExitCode.CHECK_FAILED},
        };
    }

    @Test(dataProvider = "expectations")
    public void writesReportsAndExitsWithVerdict(String expectation, int exitCode)
            throws Exception {
        Files.writeString(scenario, SmallScenario.TEXT + expectation);
        harness.assertExitCode(
                exitCode,
                "rehearse",
                scenario.toString(),
                "--clock",
                "virtual",
                "--twice",
                "--json",
                json.toString(),
                "--html",
                html.toString());
        harness.assertOutputContains("the same seed twice agree");
        assertTrue(
                Files.readString(json).contains("\"scenario\" : \"" + scenario),
                "the report does not name its scenario");
        assertTrue(Files.readString(html).endsWith("</html>\n"));
        harness.assertExitCode(ExitCode.SUCCESS, "check", scenario.toString());
        try (var files = Files.list(directory)) {
            assertEquals(
                    files.count(),
                    3,
                    "expected only the scenario and the two reports in the directory");
        }
    }

    @Test
    public void listsAllShippedScenarios() {
        harness.assertExitCode(ExitCode.SUCCESS, "rehearse", "--list");
        ScenarioLibrary.NAMES.forEach(name -> harness.assertOutputContains(name + " "));
    }
}
