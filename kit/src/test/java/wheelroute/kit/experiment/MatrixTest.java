package wheelroute.kit.experiment;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.report.Report;

public class MatrixTest {
    @Test
    public void reportsDoNotDependOnNumberOfParallelRuns() throws Exception {
        List<Report> reports = SmallPlan.run(1);
        assertEquals(reports.size(), SmallPlan.RUN_COUNT);
        assertEquals(JsonWriter.text(SmallPlan.run(4)), JsonWriter.text(reports));
        assertEquals(reports.get(4).run().seed(), 2L);
        assertEquals(reports.get(4).run().variant(), SmallPlan.BASELINE);
    }

    @Test
    public void beginsNoRunAfterStop() throws Exception {
        List<Report> reports = new Matrix(SmallPlan.PLAN, 1, () -> true, line -> {}).run();
        assertEquals(reports.size(), 0);
    }
}
