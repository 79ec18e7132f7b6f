package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.EnumSet;
import org.testng.annotations.Test;

public class AttemptResultTest {
    /** The operators' dashboards use these labels, so the labels must not change. */
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

    /**
     * A result that wrongly excludes a run would let the request run twice, so only the results for
     * which the protocol proves that the attempt did not run may exclude it.
     */
    @Test
    public void outcomeMayHaveRunUnlessTheProtocolProvesOtherwise() {
        EnumSet<AttemptResult> proven = EnumSet.noneOf(AttemptResult.class);
        for (AttemptResult result : AttemptResult.values()) {
            if (!result.outcome().mayHaveRun()) {
                proven.add(result);
            }
        }
        assertEquals(
                proven,
                EnumSet.of(
                        AttemptResult.HANDED_BACK,
                        AttemptResult.REJECTED,
                        AttemptResult.CONNECTION_REFUSED,
                        AttemptResult.CONNECT_TIMEOUT,
                        AttemptResult.CONNECT_FAILED_LOCALLY,
                        AttemptResult.BROKEN_BEFORE_SENT,
                        AttemptResult.NOT_SENT));
    }
}
