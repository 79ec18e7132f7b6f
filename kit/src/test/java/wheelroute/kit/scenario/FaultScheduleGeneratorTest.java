package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;

/** Schedules drawn from a seed, and scenarios written down and read again. */
public class FaultScheduleGeneratorTest {
    private static final String DRAWN = "[drawn]\nfaults = 6\nlongest = 2\n";

    private static Scenario real(String more) {
        return SmallScenario.scenario(more, 3, "clocks = [\"real\"]");
    }

    @Test
    public void aScheduleDependsOnTheSeedAlone() {
        Scenario scenario = real(DRAWN);
        assertEquals(
                FaultScheduleGenerator.withRandomFaults(scenario, 4),
                FaultScheduleGenerator.withRandomFaults(scenario, 4));
        assertNotEquals(
                FaultScheduleGenerator.withRandomFaults(scenario, 4).faults(),
                FaultScheduleGenerator.withRandomFaults(scenario, 5).faults());
        assertEquals(FaultScheduleGenerator.withRandomFaults(real(""), 4), real(""));
    }

    /**
     * Whatever is drawn lies inside the cycle, can be played, and would be taken from a person's
     * file too.
     */
    @Test
    public void whatIsDrawnIsSoundAndComesBackFromItsFile() throws Exception {
        Scenario scenario = real(DRAWN + "[[faults]]\nkind = \"burst\"\nat = 1\nfor = 1\n");
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        Set<LinkKind> ends = EnumSet.noneOf(LinkKind.class);
        for (int seed = 0; seed < 300; seed++) {
            Scenario drawn = FaultScheduleGenerator.withRandomFaults(scenario, seed);
            assertEquals(drawn.faults().size(), 7);
            assertEquals(ScenarioReader.read(drawn.name(), ScenarioWriter.text(drawn)), drawn);
            for (Scenario.Fault fault : drawn.faults().subList(1, 7)) {
                assertTrue(
                        fault.startSeconds() >= 0.5 && fault.endSeconds() <= 4.5 + 1e-9,
                        fault.toString());
                assertTrue(fault.durationSeconds() <= 2, fault.toString());
                kinds.add(fault.kind());
                ends.add(fault.affectedLinks());
            }
            assertEquals(
                    new HashSet<>(drawn.faults().stream().map(Scenario.Fault::pick).toList())
                            .size(),
                    7);
        }
        assertEquals(kinds, EnumSet.copyOf(FaultScheduleGenerator.kinds(true)));
        assertEquals(ends, EnumSet.complementOf(EnumSet.of(LinkKind.PEERS)));
    }

    @Test
    public void theVirtualClockIsSparedWhatItCannotPlay() {
        Scenario scenario = SmallScenario.scenario(DRAWN, 3);
        for (int seed = 0; seed < 100; seed++) {
            assertTrue(
                    FaultScheduleGenerator.withRandomFaults(scenario, seed).faults().stream()
                            .noneMatch(f -> f.kind().needsProcesses()),
                    "seed " + seed);
        }
    }

    @Test
    public void onlyTheKindsNamedAreDrawn() {
        Scenario scenario = real("[drawn]\nfaults = 20\nkinds = [\"crash\", \"list-cut\"]\n");
        assertEquals(
                EnumSet.copyOf(
                        FaultScheduleGenerator.withRandomFaults(scenario, 1).faults().stream()
                                .map(Scenario.Fault::kind)
                                .toList()),
                EnumSet.of(FaultKind.CRASH, FaultKind.DISCOVERY_LINK_CUT));
    }

    @DataProvider
    public Object[][] scenarios() {
        return java.util.stream.Stream.concat(
                        ScenarioLibrary.NAMES.stream(),
                        List.of(
                                "[clients]\nfresh = 0.25\nwrites = 0.5\n[limits]\nmemory_mb = 96\nsockets = 512\n"
                                        + "[changed]\n\"permissions.most_tries\" = \"4\"\n[expect.\"offering:free\"]\nleast = 0.1\n"
                                        + "[[faults]]\nkind = \"link-slow\"\nat = 1\nfor = 1\nto = \"clients\"\nspread = 0.0125\n"
                                        + "[[faults]]\nkind = \"dispatcher-replace\"\nat = 1\nfor = 1\nhow = \"old-killed\"\n"
                                        + "[[faults]]\nkind = \"link-cut\"\nat = 1\nfor = 1\nzone = \"b\"\nwithin = 0.5\n"
                                        + "[[faults]]\nkind = \"link-double\"\nat = 1\nfor = 1\nto = \"peers\"\nothers = 0.5\n")
                                .stream())
                .map(name -> new Object[] {name})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "scenarios")
    public void whatIsWrittenIsReadAsTheSame(String nameOrText) throws Exception {
        Scenario scenario =
                ScenarioLibrary.NAMES.contains(nameOrText)
                        ? ScenarioLibrary.find(nameOrText)
                        : real(nameOrText);
        assertEquals(ScenarioReader.read(scenario.name(), ScenarioWriter.text(scenario)), scenario);
    }
}
