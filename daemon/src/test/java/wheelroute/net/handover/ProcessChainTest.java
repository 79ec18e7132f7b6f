package wheelroute.net.handover;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.handover.ProcessChain.Role;

public class ProcessChainTest {
    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            // Events of the successor (s) and the predecessor (p): "+" joins, "-" leaves, ":n"
            // reports n processes behind it, "serving" means that the successor accepts clients.
            // Then the number of processes, the counts reported to the predecessor and to the
            // successor, and whether a successor accepts clients.
            {"", 1, 0, 0, false},
            {"s+", 2, 1, 0, false},
            {"s+ serving", 2, 1, 0, true},
            {"serving", 1, 0, 0, false},
            {"s+ serving s-", 1, 0, 0, false},
            {"p+", 2, 0, 1, false},
            {"p+ s+ serving", 3, 1, 1, true},
            {"p+ s+ p:1", 4, 1, 2, false},
            {"p+ p:1 p-", 1, 0, 0, false},
            {"p+ p:1 p- p+", 2, 0, 1, false},
            {"p:3", 1, 0, 0, false},
            {"s+ s:-5", 2, 1, 0, false},
            {"s+ s:1000000", 9, 8, 0, false},
        };
    }

    @Test(dataProvider = "histories")
    public void countsProcesses(
            String history,
            int processes,
            int reportedToPredecessor,
            int reportedToSuccessor,
            boolean successorServing) {
        ProcessChain chain = new ProcessChain();
        for (String event : history.isEmpty() ? new String[0] : history.split(" ")) {
            apply(event, chain);
        }
        assertEquals(chain.processCount(), processes);
        assertEquals(chain.countToReportTo(Role.PREDECESSOR), reportedToPredecessor);
        assertEquals(chain.countToReportTo(Role.SUCCESSOR), reportedToSuccessor);
        assertEquals(chain.hasServingSuccessor(), successorServing);
    }

    private static void apply(String event, ProcessChain chain) {
        Role role = event.startsWith("p") ? Role.PREDECESSOR : Role.SUCCESSOR;
        if (event.equals("serving")) {
            chain.onSuccessorServing();
        } else if (event.endsWith("+")) {
            chain.join(role);
        } else if (event.endsWith("-")) {
            chain.leave(role);
        } else {
            chain.setBehind(role, Integer.parseInt(event.substring(event.indexOf(':') + 1)));
        }
    }
}
