package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which failures tell of a crowd, and which of an outage. */
public class OverloadDetectorTest {
    private record Failure(double duration, boolean rejected) {}

    private static final Failure TURNED_AWAY = new Failure(0.02, true);
    private static final Failure REFUSED = new Failure(0, false);
    private static final Failure SILENT = new Failure(2.3, false);
    private static final Failure WAITED = new Failure(2, true);

    @DataProvider
    public Object[][] episodes() {
        return new Object[][] {
            {false, new Failure[] {}},
            {false, new Failure[] {TURNED_AWAY, TURNED_AWAY, TURNED_AWAY}},
            {false, new Failure[] {SILENT, WAITED, SILENT}},
            {false, new Failure[] {REFUSED, SILENT, REFUSED}},
            {true, new Failure[] {SILENT, TURNED_AWAY}},
            {true, new Failure[] {TURNED_AWAY, WAITED}},
            {true, new Failure[] {TURNED_AWAY, REFUSED, SILENT}},
        };
    }

    @Test(dataProvider = "episodes")
    public void bothWaysOfFailingMeanOverload(boolean overloaded, Failure... failures) {
        OverloadDetector detector = new OverloadDetector();
        for (Failure failure : failures) {
            detector.onFailure(failure.duration, failure.rejected);
        }
        assertEquals(detector.isOverloaded(), overloaded);
    }

    @Test
    public void anAnswerEndsTheEpisode() {
        OverloadDetector detector = new OverloadDetector();
        detector.onFailure(SILENT.duration, SILENT.rejected);
        detector.onAnswer();
        detector.onFailure(TURNED_AWAY.duration, TURNED_AWAY.rejected);
        assertFalse(detector.isOverloaded());
    }
}
