package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import org.testng.annotations.Test;

public class AttemptResultTest {
    /** Dashboards of the operators read these: they stay, whatever the constants are called. */
    @Test
    public void metricLabelsAreThoseOfTheFirstRelease() {
        assertEquals(
                String.join(
                        " ",
                        Arrays.stream(AttemptResult.values())
                                .map(AttemptResult::metricLabel)
                                .toList()),
                "done failed returned turned_away unusable odd_status lost refused never_up no_room"
                        + " broke_unsent broke stale nonsense called_off timed_out ended_unsent");
    }
}
