package wheelroute.decision.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.Test;

/** Tests the number of hedged requests that the accepted requests allow. */
public class HedgingBudgetTest {
    private static int hedgesAfter(int acceptedRequests) {
        HedgingBudget budget = new HedgingBudget();
        for (int i = 0; i < acceptedRequests; i++) {
            budget.onRequestAccepted();
        }
        int hedges = 0;
        for (; budget.allowsHedge(); hedges++) {
            budget.spend();
        }
        return hedges;
    }

    @Test
    public void allowsNoHedgeAtFirst() {
        assertFalse(new HedgingBudget().allowsHedge());
    }

    @Test
    public void allowsOneHedgePerTwentyFiveRequests() {
        assertEquals(hedgesAfter(24), 0);
        assertEquals(hedgesAfter(26), 1);
    }

    @Test
    public void allowsAtMostTwoHedgesAtOnce() {
        assertEquals(hedgesAfter(1000), 2);
    }
}
