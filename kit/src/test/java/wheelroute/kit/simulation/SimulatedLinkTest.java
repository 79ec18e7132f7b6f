package wheelroute.kit.simulation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import wheelroute.kit.faults.LinkState;

public class SimulatedLinkTest {
    private static final int CONNECTIONS = 50;

    /** If the order depended on hash codes, two runs with the same seed would differ. */
    @Test
    public void resetsConnectionsInOrderOfCreation() {
        SimulatedLink link = new SimulatedLink(new SimulatedTime());
        List<Integer> reset = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            int number = i;
            link.add(() -> reset.add(number));
        }
        link.apply(new LinkState(true, false, false, 0, 0, 0, Double.POSITIVE_INFINITY, 0));
        assertEquals(reset, IntStream.range(0, CONNECTIONS).boxed().toList());
    }
}
