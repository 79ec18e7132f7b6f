package wheelroute.net.handover;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.handover.ProcessChain.Role;

public class ProcessChainTest {
    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            // what happens, in order; then processes, told to the one before, to the one after,
            // succeeded
            {"", 1, 0, 0, false},
            {"after+", 2, 1, 0, false},
            {"after+ serves", 2, 1, 0, true},
            {"serves", 1, 0, 0, false},
            {"after+ serves after-", 1, 0, 0, false},
            {"before+", 2, 0, 1, false},
            {"before+ after+ serves", 3, 1, 1, true},
            {"before+ after+ before:1", 4, 1, 2, false},
            {"before+ before:1 before-", 1, 0, 0, false},
            {"before+ before:1 before- before+", 2, 0, 1, false},
            {"before:3", 1, 0, 0, false},
            {"after+ after:-5", 2, 1, 0, false},
            {"after+ after:1000000", 9, 8, 0, false},
        };
    }

    /**
     * Shares follow from who is known to be there, whatever the order in which they come, speak and
     * go.
     */
    @Test(dataProvider = "histories")
    public void countsWhoIsThere(
            String history, int processes, int before, int after, boolean succeeded) {
        ProcessChain chain = new ProcessChain();
        for (String event : history.isEmpty() ? new String[0] : history.split(" ")) {
            Role side = event.startsWith("before") ? Role.PREDECESSOR : Role.SUCCESSOR;
            if (event.equals("serves")) {
                chain.onSuccessorServes();
            } else if (event.endsWith("+")) {
                chain.join(side);
            } else if (event.endsWith("-")) {
                chain.leave(side);
            } else {
                chain.setBehind(side, Integer.parseInt(event.substring(event.indexOf(':') + 1)));
            }
        }
        assertEquals(chain.processes(), processes);
        assertEquals(chain.countBehindThisFor(Role.PREDECESSOR), before);
        assertEquals(chain.countBehindThisFor(Role.SUCCESSOR), after);
        assertEquals(chain.hasSuccessor(), succeeded);
    }
}
