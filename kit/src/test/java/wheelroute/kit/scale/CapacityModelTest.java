package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

public class CapacityModelTest {
    private static final int FIRST_ROW = 2;

    private static String cell(String table, int row, int column) {
        return table.split("\n")[row].split("\\|")[column].strip();
    }

    /**
     * Each dispatcher uses 0.002 cores when idle. An attempt costs 0.001 s of CPU, plus 0.002 s for
     * 1000 workers and 0.0001 s for ten tenants; there are ten attempts per second and 200 attempts
     * in flight.
     */
    @Test
    public void addsUpCostsOfDispatcher() throws IOException {
        String dispatcher = SmallDeployment.tables().get("dispatcher");
        assertEquals(cell(dispatcher, FIRST_ROW, 2), "10, 200");
        assertTrue(cell(dispatcher, FIRST_ROW, 3).startsWith("0.00200 ± 0"), dispatcher);
        assertTrue(cell(dispatcher, FIRST_ROW, 4).startsWith("0.0350 ± 0"), dispatcher);
        assertEquals(cell(dispatcher, FIRST_ROW, 5), "fits");
        assertTrue(cell(dispatcher, FIRST_ROW, 6).startsWith("60.0 ± 0"), dispatcher);
        assertTrue(cell(dispatcher, FIRST_ROW, 8).startsWith("200"), dispatcher);
    }

    @Test
    public void addsUpCoresAndMachinesOfAllDispatchers() throws IOException {
        String machines = SmallDeployment.tables().get("machines");
        assertTrue(cell(machines, FIRST_ROW, 2).startsWith("0.350 "), machines);
        assertTrue(cell(machines, FIRST_ROW, 4).startsWith("0.0875 "), machines);
    }

    /**
     * Discovery sends ten complete lists of 100,000 bytes after a restart of all dispatchers, the
     * changes of 100 s after a partition, and a quarter of the list after the loss of a zone.
     */
    @Test
    public void addsUpBytesOfDiscovery() throws IOException {
        String discovery = SmallDeployment.tables().get("list-service");
        assertTrue(
                cell(discovery, FIRST_ROW, 4).startsWith("1.00 ")
                        || cell(discovery, FIRST_ROW, 4).startsWith("1 "),
                discovery);
        assertTrue(cell(discovery, FIRST_ROW, 5).startsWith("0.100 "), discovery);
        assertTrue(cell(discovery, FIRST_ROW, 6).startsWith("0.250 "), discovery);
    }

    @Test
    public void acceptsSizeWithinItsBounds() throws IOException {
        assertEquals(
                new CapacityModel(SmallDeployment.results(), SmallDeployment.size())
                        .exceededBounds(),
                List.of());
    }

    @Test
    public void namesExceededBound() throws IOException {
        DeploymentSize size = SmallDeployment.sizeWith("core_share = 0.1", "core_share = 0.0175");
        assertEquals(
                new CapacityModel(SmallDeployment.results(), size).exceededBounds(),
                List.of("CPU at peak with 10 dispatchers: over, 2.00 times"));
    }
}
