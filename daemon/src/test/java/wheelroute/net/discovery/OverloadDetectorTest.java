package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OverloadDetectorTest {
    private record Failure(double durationSeconds, boolean rejected) {}

    private static final Failure REJECTED_PROMPTLY = new Failure(0.02, true);
    private static final Failure CONNECTION_REFUSED = new Failure(0, false);
    private static final Failure NO_RESPONSE = new Failure(2.3, false);
    private static final Failure REJECTED_AFTER_WAIT = new Failure(2, true);

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            // Whether the failures that follow indicate an overload.
            {false, new Failure[] {}},
            {false, new Failure[] {REJECTED_PROMPTLY, REJECTED_PROMPTLY, REJECTED_PROMPTLY}},
            {false, new Failure[] {NO_RESPONSE, REJECTED_AFTER_WAIT, NO_RESPONSE}},
            {false, new Failure[] {CONNECTION_REFUSED, NO_RESPONSE, CONNECTION_REFUSED}},
            {true, new Failure[] {NO_RESPONSE, REJECTED_PROMPTLY}},
            {true, new Failure[] {REJECTED_PROMPTLY, REJECTED_AFTER_WAIT}},
            {true, new Failure[] {REJECTED_PROMPTLY, CONNECTION_REFUSED, NO_RESPONSE}},
        };
    }

    @Test(dataProvider = "failures")
    public void detectsOverloadByPromptRejectionAndLongWait(
            boolean overloaded, Failure... failures) {
        OverloadDetector detector = new OverloadDetector();
        for (Failure failure : failures) {
            detector.onFailure(failure.durationSeconds, failure.rejected);
        }
        assertEquals(detector.isOverloaded(), overloaded);
    }

    @Test
    public void forgetsFailuresAfterResponse() {
        OverloadDetector detector = new OverloadDetector();
        detector.onFailure(NO_RESPONSE.durationSeconds, NO_RESPONSE.rejected);
        detector.onResponse();
        detector.onFailure(REJECTED_PROMPTLY.durationSeconds, REJECTED_PROMPTLY.rejected);
        assertFalse(detector.isOverloaded());
    }
}
