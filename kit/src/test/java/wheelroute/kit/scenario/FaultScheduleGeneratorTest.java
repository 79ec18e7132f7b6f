package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;

public class FaultScheduleGeneratorTest {
    private static final int RANDOM_FAULT_COUNT = 6;
    private static final String RANDOM_FAULTS_TABLE = "[drawn]\nfaults = 6\nlongest = 2\n";
    private static final int SEED_COUNT = 300;
    private static final int SIMULATED_SEED_COUNT = 100;

    private static Scenario processScenario(String lines) {
        return SmallScenario.scenario(lines, 3, "clocks = [\"real\"]");
    }

    @Test
    public void scheduleDependsOnSeedAlone() {
        Scenario scenario = processScenario(RANDOM_FAULTS_TABLE);
        assertEquals(
                FaultScheduleGenerator.withRandomFaults(scenario, 4),
                FaultScheduleGenerator.withRandomFaults(scenario, 4));
        assertNotEquals(
                FaultScheduleGenerator.withRandomFaults(scenario, 4).faults(),
                FaultScheduleGenerator.withRandomFaults(scenario, 5).faults());
        Scenario withoutRandomFaults = processScenario("");
        assertEquals(
                FaultScheduleGenerator.withRandomFaults(withoutRandomFaults, 4),
                withoutRandomFaults);
    }

    /** Every random fault is within the cycle, and valid in a scenario file. */
    @Test
    public void drawsValidFaultsOfAllKindsAndLinks() throws Exception {
        Scenario scenario =
                processScenario(
                        RANDOM_FAULTS_TABLE + "[[faults]]\nkind = \"burst\"\nat = 1\nfor = 1\n");
        int faultCount = RANDOM_FAULT_COUNT + 1;
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        Set<LinkKind> links = EnumSet.noneOf(LinkKind.class);
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            Scenario drawn = FaultScheduleGenerator.withRandomFaults(scenario, seed);
            assertEquals(drawn.faults().size(), faultCount);
            assertEquals(ScenarioReader.read(drawn.name(), ScenarioWriter.text(drawn)), drawn);
            for (Scenario.Fault fault : drawn.faults().subList(1, faultCount)) {
                assertTrue(
                        fault.startSeconds() >= 0.5 && fault.endSeconds() <= 4.5 + 1e-9,
                        fault.toString());
                assertTrue(fault.durationSeconds() <= 2, fault.toString());
                kinds.add(fault.kind());
                links.add(fault.affectedLinks());
            }
            List<Integer> picks = drawn.faults().stream().map(Scenario.Fault::pick).toList();
            assertEquals(new HashSet<>(picks).size(), faultCount);
        }
        assertEquals(kinds, EnumSet.copyOf(FaultScheduleGenerator.eligibleKinds(true)));
        assertEquals(links, EnumSet.complementOf(EnumSet.of(LinkKind.PEERS)));
    }

    @Test
    public void drawsNoFaultThatNeedsProcessesForVirtualClock() {
        Scenario scenario = SmallScenario.scenario(RANDOM_FAULTS_TABLE, 3);
        for (int seed = 0; seed < SIMULATED_SEED_COUNT; seed++) {
            assertTrue(
                    FaultScheduleGenerator.withRandomFaults(scenario, seed).faults().stream()
                            .noneMatch(fault -> fault.kind().needsProcesses()),
                    "seed " + seed);
        }
    }

    @Test
    public void drawsOnlyKindsThatScenarioNames() {
        Scenario scenario =
                processScenario("[drawn]\nfaults = 20\nkinds = [\"crash\", \"list-cut\"]\n");
        List<FaultKind> kinds =
                FaultScheduleGenerator.withRandomFaults(scenario, 1).faults().stream()
                        .map(Scenario.Fault::kind)
                        .toList();
        assertEquals(
                EnumSet.copyOf(kinds), EnumSet.of(FaultKind.CRASH, FaultKind.DISCOVERY_LINK_CUT));
    }
}
