package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Settings;
import wheelroute.kit.SmallScenario;

/** Scenario files: what is wrong is told, all of it, with its place. */
public class ScenarioReaderTest {
    private static final int NEXT_LINE = SmallScenario.TEXT.split("\n", -1).length;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            // what is added, the line from the end of the sound part, what is told of it
            {
                "[[faults]]\nkind = \"brust\"\nat = 1\nfor = 1\n",
                1,
                "faults[0].kind is none of burst, stall"
            },
            {"[[faults]]\nkind = \"stall\"\nat = 1\n", 0, "faults[0].for is missing"},
            {
                "[[faults]]\nkind = \"stall\"\nat = 9\nfor = 1\n",
                2,
                "faults[0].at is not from 0 to 5: 9"
            },
            {
                "[[faults]]\nkind = \"stall\"\nat = 4\nfor = 3\n",
                3,
                "goes on past the end of the cycle"
            },
            {
                "[[faults]]\nkind = \"stall\"\nat = 1\nfor = 1\ngroup = \"none\"\n",
                4,
                "names no group of workers"
            },
            {
                "[[faults]]\nkind = \"burst\"\nat = 1\nfor = 1\nlevel = 2\n",
                4,
                "level is not from 0 to 1: 2"
            },
            {
                "[[faults]]\nkind = \"dispatcher-starve\"\nat = 1\nfor = 1\n",
                1,
                "kind needs processes: run.clocks must be [\"real\"]"
            },
            {"[[faults]]\nkind = \"crowd\"\nat = 1\nfor = 1\n", 1, "kind needs processes"},
            {
                "[[faults]]\nkind = \"crash\"\nat = 1\nfor = 1\nto = \"list\"\n",
                4,
                "to is for links only"
            },
            {
                "[[faults]]\nkind = \"link-cut\"\nat = 1\nfor = 1\nto = \"moon\"\n",
                4,
                "to is none of workers"
            },
            {
                "[[faults]]\nkind = \"link-cut\"\nat = 1\nfor = 1\nzone = \"c\"\n",
                4,
                "zone names no zone"
            },
            {
                "[[faults]]\nkind = \"link-cut\"\nat = 1\nfor = 1\nfrom = \"a\"\n",
                4,
                "from is none of run.zones: a"
            },
            {
                "[[faults]]\nkind = \"crash\"\nat = 1\nfor = 1\nhow = \"older\"\n",
                4,
                "how is not available for crash"
            },
            {
                "[drawn]\nfaults = 3\nkinds = [\"crowd\"]\n",
                2,
                "drawn.kinds has an item that is none of"
            },
            {"[limits]\nsockets = 9\n", 1, "limits.sockets is not from 96"},
            {
                "[[faults]]\nkind = \"crash\"\nat = 1\nfor = 1\nwithin = 1\n",
                4,
                "within is for faults of dispatchers only"
            },
            {
                "[[faults]]\nkind = \"dispatcher-kill\"\nat = 1\nfor = 2\nwithin = 3\n",
                3,
                "goes on past the end of the cycle"
            },
            {"[terms]\ntells_start = 1\n", 1, "terms.tells_start is not true or false: 1"},
            {
                "[terms]\ntels_start = true\n",
                1,
                "terms.tels_start is not known; known here: connect_limit"
            },
            {"[clients]\nretries = 1.5\n", 1, "clients.retries is not a whole number: 1.5"},
            {"[network]\ndelay = \"far\"\n", 1, "network.delay is not a number: far"},
            {"[expect.servise]\nleast = 1\n", 0, "servise is no figure of a report"},
            {"[expect.service]\nlest = 1\n", 1, "expect.service.lest is not known"},
            {"[[tenants]]\nname = \"A b\"\n", 1, "tenants[0].name is not made of small letters"},
            {"[[tenants]]\nname = \"a\"\n[[tenants]]\nname = \"a\"\n", 0, "tenants names a twice"},
            {
                "[[load]]\nat = 3\nrate = 1\n[[load]]\nat = 2\nrate = 1\n",
                0,
                "has a point before the one above"
            },
            {
                "[[offerings]]\nname = \"x\"\nwork = 1\nquoted = 2\nouter = 1\n",
                4,
                "outer is under quoted"
            },
            {"[wokers]\n", 0, "wokers is not known"},
            {"run = 5\n= 3\n", 1, "Unexpected"},
        };
    }

    @Test(dataProvider = "faults")
    public void aFaultIsToldWithItsLineAndKey(String more, int line, String told) {
        ScenarioException e =
                expectThrows(
                        ScenarioException.class,
                        () -> ScenarioReader.read("x.toml", SmallScenario.TEXT + more));
        assertTrue(e.faults().stream().anyMatch(fault -> fault.contains(told)), e.getMessage());
        if (line > 0) {
            String place = "line " + (NEXT_LINE + line) + ": ";
            assertTrue(
                    e.faults().stream().anyMatch(f -> f.startsWith(place)), e.getMessage() + place);
        }
    }

    @Test
    public void allFaultsAreToldAtOnce() {
        ScenarioException e =
                expectThrows(
                        ScenarioException.class,
                        () ->
                                ScenarioReader.read(
                                        "x.toml",
                                        "[run]\nseconds = -1\nspeed = 2\n[[workers]]\ncount = 0\n[[load]]\n"));
        assertEquals(e.faults().size(), 6, e.getMessage());
        assertTrue(e.getMessage().startsWith("x.toml: 6 faults"), e.getMessage());
    }

    @Test
    public void aFileThatCannotBeReadIsNamed() throws Exception {
        Path folder = Files.createTempDirectory("scenario");
        ScenarioException none =
                expectThrows(
                        ScenarioException.class,
                        () -> ScenarioReader.read(folder.resolve("none.toml")));
        assertTrue(
                none.getMessage().contains("none.toml")
                        && none.getMessage().contains("cannot be read"));
        Path large = folder.resolve("large.toml");
        Files.write(large, new byte[2 << 20]);
        assertTrue(
                expectThrows(ScenarioException.class, () -> ScenarioReader.read(large))
                        .getMessage()
                        .contains("is over"));
        Files.delete(large);
        Files.delete(folder);
    }

    @DataProvider
    public Object[][] shipped() {
        return ScenarioLibrary.NAMES.stream()
                .map(name -> new Object[] {name})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "shipped")
    public void whatIsShippedCanBePlayed(String name) throws Exception {
        Scenario scenario = ScenarioLibrary.find(name);
        assertTrue(scenario.expectations().size() > 0, "it expects nothing");
        Settings settings =
                DaemonSettings.settings(1, DaemonSettings.settingsByPath(scenario, Map.of()));
        assertEquals(settings.requestClasses().size(), scenario.requestClasses().size());
    }

    /**
     * One source for both clocks: what the daemon reads from its file is what the virtual one is
     * given.
     */
    @Test
    public void theTermsReachTheDaemonsOwnWords() throws Exception {
        Scenario scenario =
                SmallScenario.scenario(
                        "[terms]\nmost_launches = 4\nmay_copy = false\n"
                                + "[[tenants]]\nname = \"t\"\nquota = 7\n[daemon]\n\"permissions.most_tries\" = \"5\"\n");
        Map<String, String> pairs =
                DaemonSettings.settingsByPath(scenario, Map.of("prices.cross_zone", "0.5"));
        Settings settings = DaemonSettings.settings(3, pairs);
        assertEquals(settings.maxAttempts(), 5, "the scenario's own word on the daemon goes first");
        assertEquals(settings.crossZonePrice(), 0.5);
        assertEquals(settings.mayHedge(), false);
        assertEquals(settings.quotas().size(), 1);
        assertEquals(settings.requestClasses().get(1).idempotencyWindowSeconds(), 1.0);
        Path file = Files.createTempFile("daemon", ".json");
        Files.writeString(
                file,
                new DaemonConfigFile("n0", 3, new Scenario.Limits(192, 512), pairs, List.of())
                        .text());
        var config =
                wheelroute.config.ConfigReader.read(
                        Map.of(
                                "LB_CONFIG",
                                file.toString(),
                                "LB_LISTEN",
                                "127.0.0.1:0",
                                "LB_DISCOVERY",
                                "127.0.0.1:1"));
        assertEquals(config.settings(), settings);
        Files.delete(file);
        assertEquals(List.of(config.maxDescriptors()), List.of(512));
    }
}
