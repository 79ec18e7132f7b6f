package wheelroute.kit.scale;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ScalePlanTest {
    @DataProvider
    public Object[][] invalidPlans() {
        return new Object[][] {
            // averaging seconds, worker counts, expected part of the message
            {0.0, List.of(1, 2, 3, 4), "averagingSeconds"},
            {1.0, List.of(1, 2, 3), "workerCounts needs at least 4"},
            {1.0, List.of(1, 2, 4, 4), "workerCounts must ascend"},
        };
    }

    @Test(dataProvider = "invalidPlans")
    public void rejectsInvalidPlan(
            double averagingSeconds, List<Integer> workerCounts, String expectedMessage) {
        ScalePlan quick = ScalePlan.quick();
        String message =
                expectThrows(
                                IllegalArgumentException.class,
                                () ->
                                        new ScalePlan(
                                                averagingSeconds,
                                                workerCounts,
                                                quick.changesPerSecond(),
                                                quick.attemptsPerSecond(),
                                                quick.attemptsInFlight(),
                                                quick.tenantCounts(),
                                                quick.changesPerBatch(),
                                                quick.batchWorkerCount(),
                                                quick.dispatcherCounts()))
                        .getMessage();
        assertTrue(message.contains(expectedMessage), message);
    }
}
