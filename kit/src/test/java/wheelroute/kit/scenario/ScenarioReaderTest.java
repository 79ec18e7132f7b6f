package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;

/** Invalid scenario files are rejected with the line and key of each error. */
public class ScenarioReaderTest {
    private static final int FIRST_ADDED_LINE = SmallScenario.TEXT.split("\n", -1).length;

    /** Stands in place of a line of the added text if the error belongs to none of its lines. */
    private static final int NO_LINE = 0;

    private static String fault(String kind, int at, int durationSeconds) {
        return String.format(
                "[[faults]]\nkind = \"%s\"\nat = %d\nfor = %d\n", kind, at, durationSeconds);
    }

    @DataProvider
    public Object[][] invalidFaultTimes() {
        return new Object[][] {
            // Added text, line of the error within the added text, expected part of the message.
            {"[[faults]]\nkind = \"stall\"\nat = 1\n", NO_LINE, "faults[0].for is missing"},
            {fault("stall", 9, 1), 2, "faults[0].at is not from 0 to 5: 9"},
            {
                fault("stall", 4, 3),
                3,
                "for makes the fault end at 7.0 s, after the end of the cycle"
            },
            {
                fault("crash", 1, 1) + "within = 1\n",
                4,
                "within is allowed only for faults of dispatchers, not for crash"
            },
            {
                fault("dispatcher-kill", 1, 2) + "within = 3\n",
                3,
                "for makes the fault end at 6.0 s, after the end of the cycle"
            },
        };
    }

    @Test(dataProvider = "invalidFaultTimes")
    public void rejectsInvalidTimeOfFault(String added, int line, String message) {
        assertRejected(added, line, message);
    }

    @DataProvider
    public Object[][] invalidFaultTargets() {
        return new Object[][] {
            {
                fault("stall", 1, 1) + "group = \"none\"\n",
                4,
                "group is not the name of a worker group: none"
            },
            {
                fault("crash", 1, 1) + "to = \"list\"\n",
                4,
                "to is allowed only for faults of links, not for crash"
            },
            {fault("link-cut", 1, 1) + "to = \"moon\"\n", 4, "to is not one of workers"},
            {
                fault("link-cut", 1, 1) + "zone = \"c\"\n",
                4,
                "zone is not a zone of the selected workers: c"
            },
            {fault("link-cut", 1, 1) + "from = \"a\"\n", 4, "from is not one of run.zones: a"},
        };
    }

    @Test(dataProvider = "invalidFaultTargets")
    public void rejectsInvalidTargetOfFault(String added, int line, String message) {
        assertRejected(added, line, message);
    }

    @DataProvider
    public Object[][] invalidFaultKinds() {
        return new Object[][] {
            {fault("brust", 1, 1), 1, "faults[0].kind is not one of burst, stall"},
            {fault("burst", 1, 1) + "level = 2\n", 4, "level is not from 0 to 1: 2"},
            {
                fault("dispatcher-starve", 1, 1),
                1,
                "kind cannot be simulated, so run.clocks must be [\"real\"]"
            },
            {fault("crowd", 1, 1), 1, "kind cannot be simulated"},
            {fault("crash", 1, 1) + "how = \"older\"\n", 4, "how is not supported for crash"},
            {
                "[drawn]\nfaults = 3\nkinds = [\"crowd\"]\n",
                2,
                "drawn.kinds has an item that is none of"
            },
        };
    }

    @Test(dataProvider = "invalidFaultKinds")
    public void rejectsInvalidKindLevelOrModeOfFault(String added, int line, String message) {
        assertRejected(added, line, message);
    }

    @DataProvider
    public Object[][] invalidValues() {
        return new Object[][] {
            {"[limits]\nsockets = 9\n", 1, "limits.sockets is not from 96"},
            {"[terms]\ntells_start = 1\n", 1, "terms.tells_start is not true or false: 1"},
            {"[clients]\nretries = 1.5\n", 1, "clients.retries is not a whole number: 1.5"},
            {"[network]\ndelay = \"far\"\n", 1, "network.delay is not a number: far"},
            {
                "[[tenants]]\nname = \"A b\"\n",
                1,
                "tenants[0].name must be 1 to 41 lowercase letters, digits and dashes"
            },
            {
                "[[offerings]]\nname = \"x\"\nwork = 1\nquoted = 2\nouter = 1\n",
                4,
                "outer must be at least quoted"
            },
        };
    }

    @Test(dataProvider = "invalidValues")
    public void rejectsInvalidValue(String added, int line, String message) {
        assertRejected(added, line, message);
    }

    @DataProvider
    public Object[][] unknownKeys() {
        return new Object[][] {
            {
                "[terms]\ntels_start = true\n",
                1,
                "terms.tels_start is not known; known here: connect_limit"
            },
            {"[expect.servise]\nleast = 1\n", NO_LINE, "servise is not a figure of a report"},
            {"[expect.service]\nlest = 1\n", 1, "expect.service.lest is not known"},
            {"[wokers]\n", NO_LINE, "wokers is not known"},
        };
    }

    @Test(dataProvider = "unknownKeys")
    public void rejectsUnknownKey(String added, int line, String message) {
        assertRejected(added, line, message);
    }

    @DataProvider
    public Object[][] invalidLists() {
        return new Object[][] {
            {
                "[[tenants]]\nname = \"a\"\n[[tenants]]\nname = \"a\"\n",
                NO_LINE,
                "tenants has more than one item named a"
            },
            {
                "[[load]]\nat = 3\nrate = 1\n[[load]]\nat = 2\nrate = 1\n",
                NO_LINE,
                "load must be in order of time, but at = 2.0 follows at = 3.0"
            },
            {"run = 5\n= 3\n", 1, "Unexpected"},
        };
    }

    @Test(dataProvider = "invalidLists")
    public void rejectsInvalidListOrSyntax(String added, int line, String message) {
        assertRejected(added, line, message);
    }

    private static void assertRejected(String added, int line, String message) {
        ScenarioException e =
                expectThrows(
                        ScenarioException.class,
                        () -> ScenarioReader.read("x.toml", SmallScenario.TEXT + added));
        assertTrue(e.errors().stream().anyMatch(error -> error.contains(message)), e.getMessage());
        if (line != NO_LINE) {
            String prefix = "line " + (FIRST_ADDED_LINE + line) + ": ";
            assertTrue(
                    e.errors().stream().anyMatch(error -> error.startsWith(prefix)),
                    "expected an error at " + prefix + e.getMessage());
        }
    }

    @Test
    public void reportsAllFaultsOfFileAtOnce() {
        ScenarioException e =
                expectThrows(
                        ScenarioException.class,
                        () ->
                                ScenarioReader.read(
                                        "x.toml",
                                        "[run]\nseconds = -1\nspeed = 2\n[[workers]]\ncount = 0\n[[load]]\n"));
        assertEquals(e.errors().size(), 6, e.getMessage());
        assertTrue(e.getMessage().startsWith("x.toml: 6 errors"), e.getMessage());
    }

    @Test
    public void namesFileThatCannotBeRead() throws Exception {
        Path directory = Files.createTempDirectory("scenario");
        ScenarioException missing =
                expectThrows(
                        ScenarioException.class,
                        () -> ScenarioReader.read(directory.resolve("none.toml")));
        assertTrue(
                missing.getMessage().contains("none.toml")
                        && missing.getMessage().contains("cannot be read"));
        Path tooLarge = directory.resolve("large.toml");
        Files.write(tooLarge, new byte[2 << 20]);
        assertTrue(
                expectThrows(ScenarioException.class, () -> ScenarioReader.read(tooLarge))
                        .getMessage()
                        .contains("is larger than"));
        Files.delete(tooLarge);
        Files.delete(directory);
    }
}
