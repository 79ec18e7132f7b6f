package wheelroute.net.admin;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.WireFixture;
import wheelroute.decision.Ids;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;
import wheelroute.net.workers.AttemptResult;

/**
 * Guards the names, labels and words of metrics and admin responses, which must not change because
 * dashboards and scripts read them.
 */
public class MetricsWireFormatTest {
    private static final Ids.RequestClass JOB = new Ids.RequestClass("job");
    private static final Ids.RequestClass NAME_TO_ESCAPE = new Ids.RequestClass("a \"b\", c\\d");
    private static final Gauges GAUGES = new Gauges(101, 102, 103, 104, 105, 106, 1, 107);

    private Counters counters;
    private int lastCount;

    /** Counts each counter a different number of times. */
    @BeforeMethod
    public void countEachCounter() {
        counters = new Counters(List.of(JOB, NAME_TO_ESCAPE));
        lastCount = 0;
        for (Counters.Counter counter : Counters.Counter.values()) {
            repeat(() -> counters.count(counter));
        }
        for (Counters.FinalAnswer answer : Counters.FinalAnswer.values()) {
            repeat(() -> counters.count(JOB, answer));
        }
        for (AttemptResult result : AttemptResult.values()) {
            repeat(() -> counters.count(result));
        }
    }

    private void repeat(Runnable count) {
        lastCount++;
        for (int i = 0; i < lastCount; i++) {
            count.run();
        }
    }

    private AdminServer server(String notReadyReason, String membersText) {
        ServiceStatus status =
                new ServiceStatus() {
                    @Override
                    public String notReadyReason() {
                        return notReadyReason;
                    }

                    @Override
                    public Counters counters() {
                        return counters;
                    }

                    @Override
                    public Gauges gauges() {
                        return GAUGES;
                    }

                    @Override
                    public String membersText() {
                        return membersText;
                    }
                };
        return new AdminServer(null, status);
    }

    @Test
    public void writesPrometheusTextAsRecorded() {
        assertEquals(counters.toPrometheusText(GAUGES), WireFixture.read("metrics.txt"));
    }

    @Test
    public void answersStatsAsRecorded() {
        assertEquals(server(null, null).answer("STATS"), WireFixture.read("admin-stats.txt"));
    }

    @Test
    public void answersReadyWithReason() {
        assertEquals(server(null, null).answer("READY"), "ok ready\n");
        assertEquals(server("draining", null).answer("READY"), "fail draining\n");
    }

    @Test
    public void answersPeersWithLineForEachMember() {
        assertEquals(server(null, null).answer("PEERS"), "fail this dispatcher knows no others\n");
        assertEquals(server(null, "n1 alive\n").answer("PEERS"), "n1 alive\neof\n");
    }

    @Test
    public void answersUnknownCommandWithListOfCommands() {
        assertEquals(
                server(null, null).answer("STAT"), "fail unknown call: READY, STATS or PEERS\n");
    }
}
