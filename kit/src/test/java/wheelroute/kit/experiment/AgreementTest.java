package wheelroute.kit.experiment;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import wheelroute.kit.report.Report;

public class AgreementTest {
    @Test
    public void repetitionsAgreeAndDifferentSeedsDoNot() throws Exception {
        List<Report> reports = SmallPlan.run(2);
        assertTrue(Agreement.ofRepetitions(reports, SmallPlan.run(3)).holds());
        Agreement ofTwoSeeds =
                Agreement.ofRepetitions(reports.subList(0, 1), reports.subList(1, 2));
        assertFalse(ofTwoSeeds.holds());
        assertTrue(ofTwoSeeds.text().contains("DO NOT AGREE"), ofTwoSeeds.text());
    }
}
