package wheelroute.adapter;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdapterTest {
    private static final String CONFIGURE_LINE =
            "CONFIGURE 5 az=a balancers=1 later.key=what membership_mode=push"
                    + " permissions.most_tries=6 request_classes.count=1 request_classes.0.effect=free"
                    + " request_classes.0.hard_limit_us=5000000 request_classes.0.name=job"
                    + " request_classes.0.on_time_us=500000 request_classes.0.worth=2\n";
    private static final String ENDPOINT_LIST = "SYNC C 1 1\nROW std 1 a - 77 0 active\n";
    private static final String ORDERED_CLASS =
            CONFIGURE_LINE.replace(
                            "\n",
                            " request_classes.0.one_at_a_time=true" + " rules.key_rest_us=200000\n")
                    + ENDPOINT_LIST;
    private static final String REQUEST_LINE = "ORDER 9 - 1 job - - 5000000 1 20000\n";

    private static final String WAKEUP_ACTION = "SLEEP 100000 w\n";
    private static final String ATTEMPT_ACTION = "TRY 9 77 0\n";

    private static String run(String input) throws IOException, WireException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(String events) {
        return "FRAME 1000\nAT 3\n" + CONFIGURE_LINE + ENDPOINT_LIST + events + "YOUR_TURN\n";
    }

    @DataProvider
    public Object[][] batches() {
        return Stream.of(attempts(), otherEvents())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] attempts() {
        return new Object[][] {
            {"FRAME 8412250\nYOUR_TURN\n", "DONE\n"},
            {batch(""), "DONE\n"},
            {batch(REQUEST_LINE), "SOURCE 3\n" + WAKEUP_ACTION + ATTEMPT_ACTION + "DONE\n"},
            {
                batch("AT 4\n" + CONFIGURE_LINE + REQUEST_LINE),
                "SOURCE 4\nOVERLOAD_REPLY 9 0\nDONE\n"
            },
            {
                batch(REQUEST_LINE + "KILLED\n" + CONFIGURE_LINE + "SYNC C 0 0\n"),
                "SOURCE 3\n" + WAKEUP_ACTION + ATTEMPT_ACTION + "DONE\n"
            },
            {
                batch(
                        REQUEST_LINE
                                + "FINISHED 9 0 77 200 18500 1 - -\nFINISHED 9 0 77 200 1 1 - -\nGONE 9\nGONE 8\n"),
                "SOURCE 3\n" + WAKEUP_ACTION + ATTEMPT_ACTION + "DONE\n"
            },
            {
                batch(
                        REQUEST_LINE
                                + "FINISHED 9 0 77 999 18500 1 0 busy_reqs:1,novelty:3,x0:0.5\n"),
                "SOURCE 3\n" + WAKEUP_ACTION + ATTEMPT_ACTION + "DONE\n"
            },
            {
                batch(
                        "ORDER 9 - 2 job f00d someone 5000000 0 -\nUPDATE_OF 9 0 77 1 0\nUPDATE_OF 9 0 7 2 0.5\n"),
                "SOURCE 3\n" + WAKEUP_ACTION + ATTEMPT_ACTION + "DONE\n"
            },
        };
    }

    private static Object[][] otherEvents() {
        return new Object[][] {
            {
                batch(
                        ORDERED_CLASS
                                + "ORDER 9 - 1 job f00d - 5000000 1 20000\nORDER 8 - 1 job f00d - 5000000 1 2\n"
                                + "ORDER 7 - 1 job cafe - 5000000 1 20000\n"),
                "SOURCE 3\n" + WAKEUP_ACTION + ATTEMPT_ACTION + "TRY 7 77 0\nDONE\n"
            },
            {
                batch(
                        "PROBED 77 408 500 -\nPROBED 78 200 1 x0:1\nMAIL 1 68\nSYNC X - 0\nBELL any thing\n"),
                "DONE\n"
            },
            {
                batch("SYNC D 2 1\nROW std 1 a - 77 0 left\n" + REQUEST_LINE),
                "SOURCE 3\nOVERLOAD_REPLY 9 0\nDONE\n"
            },
        };
    }

    @Test(dataProvider = "batches")
    public void repliesToBatchWithActions(String input, String expected)
            throws IOException, WireException {
        assertEquals(run(input), expected);
    }

    /** Guards against a wakeup of the policy causing a poll of the endpoint list. */
    @Test
    public void pollsEndpointListWithBackoffAfterFailures() throws IOException, WireException {
        String polling = batch("").replace("membership_mode=push", "membership_mode=ask");
        String failed = "FRAME 2000\nAT 3\nSYNC X - 0\nYOUR_TURN\n";
        String policyWakeup = "FRAME 3000\nAT 3\nBELL w\nYOUR_TURN\n";
        String retryWakeup = "FRAME 9000000\nAT 3\nBELL l\nYOUR_TURN\n";
        String retried = "SOURCE 3\nSLEEP \\d+ l\nDONE\nDONE\nSOURCE 3\nWATCH 1\nDONE\n";
        String replies = run(polling + (failed + policyWakeup + retryWakeup).repeat(4));
        assertTrue(replies.matches("SOURCE 3\nWATCH 1\nDONE\n(" + retried + "){4}"), replies);
        int[] delays =
                Pattern.compile("SLEEP (\\d+) l")
                        .matcher(replies)
                        .results()
                        .mapToInt(found -> Integer.parseInt(found.group(1)))
                        .toArray();
        assertTrue(delays[0] >= 500_000 && delays[0] < 1_000_000, replies);
        assertTrue(delays[3] >= 1_250_000 && delays[3] < 2_500_000, replies);
        // A response of discovery resets the backoff.
        String response = "FRAME 9500000\nAT 3\nSYNC D 2 0\nYOUR_TURN\n";
        assertTrue(
                run(polling + (failed + retryWakeup).repeat(4) + response + failed)
                        .matches("(?s).*SLEEP [5-9]\\d{5} l\nDONE\n"));
    }

    @DataProvider
    public Object[][] malformedInputs() {
        return new Object[][] {
            // The input, and a part of the expected error message.
            {"HELLO\n", "line 1"},
            {"FRAME x\nYOUR_TURN\n", "time_us"},
            {"FRAME 1\nAT 3\nORDER 1\nYOUR_TURN\n", "not configured"},
            {"FRAME 1\nBELL w\nYOUR_TURN\n", "not configured"},
            {batch("NONSENSE 1\n"), "NONSENSE"},
            {batch("ORDER 9 - 1 job\n"), "resource"},
            {batch("ORDER 9 - 1 other - - 5000000 1 20000\n"), "other"},
            {batch("ORDER nine - 1 job - - 5000000 1 20000\n"), "job"},
            {batch("GONE 9 9\n"), "follows"},
            {batch("GONE 99999999999999999999\n"), "whole number"},
            {batch("SYNC Q 1 0\n"), "form"},
            {batch("SYNC F 1 2\nROW std 1 a - 77 0 active\n"), "ROW"},
            {batch("SYNC F 1 1\nROW std 1 a - 77 0 asleep\n"), "readiness"},
            {batch("PROBED 77 200 5 x0\n"), "load report"},
            {batch("KILLED\nBELL w\n"), "not configured"},
            {"FRAME 1\nAT 3\nCONFIGURE 5 az\nYOUR_TURN\n", "path=value"},
            {"FRAME 1\nAT 3\nCONFIGURE 5 balancers=few\nYOUR_TURN\n", "balancers"},
            {"FRAME 1\nYOUR_TURN", "ends"},
            {"FRAME 1\n", "ends"},
        };
    }

    @Test(dataProvider = "malformedInputs")
    public void rejectsMalformedInput(String input, String expected) {
        String message = expectThrows(WireException.class, () -> run(input)).getMessage();
        assertTrue(message.contains(expected), message);
    }

    @Test
    public void readsLinesLongerThanTheBuffer() throws IOException, WireException {
        StringBuilder list = new StringBuilder("SYNC F 2 5000\n");
        for (int i = 0; i < 5000; i++) {
            list.append("ROW std 1 a - ").append(1000 + i).append(" 0 active\n");
        }
        String conf = CONFIGURE_LINE.replace("later.key=what", "later.key=" + "x".repeat(200_000));
        assertTrue(
                run("FRAME 1000\nAT 3\n" + conf + list + REQUEST_LINE + "YOUR_TURN\n")
                        .contains("TRY 9 "));
        assertThrows(WireException.class, () -> run("x".repeat(300_000) + "\n"));
    }
}
