package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.PolicyHarness;

/** Workers' answers in all the shapes that a network or a faulty worker may give them. */
public class AttemptResponseDecoderTest implements AttemptResponseDecoder.Listener {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String STARTED = "{'id':'9b','from':'s-0','state':'started'}\n";
    private static final String RUNNING =
            "{'id':'9b','from':'s-0','state':'running','share':0.4}\n";
    private static final String DONE =
            "{'id':'9b','state':'done','load':{'pending':1,'x0':2}," + "'result':'r\\n\u00e9'}\n";
    private static final String LAST = "0\r\n\r\n";

    private final StringBuilder heard = new StringBuilder();

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
                + "\r\n"
                + text
                + "\r\n";
    }

    private static String answer(String... lines) {
        StringBuilder out = new StringBuilder(HEAD);
        for (String line : lines) {
            out.append(chunk(line));
        }
        return out.append(LAST).toString();
    }

    private static String plain(String status, String fields) {
        return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 3\r\n\r\nbad";
    }

    @DataProvider
    public Object[][] answers() {
        String notBegun = "X-Not-Processed: 1\r\n";
        return new Object[][] {
            {answer(STARTED, RUNNING, DONE), "started 0.4 SUCCEEDED[r\n\u00e9]2.0 kept"},
            {answer(STARTED + RUNNING + DONE), "started 0.4 SUCCEEDED[r\n\u00e9]2.0 kept"},
            {answer(DONE.trim()), "SUCCEEDED[r\n\u00e9]2.0 kept"},
            {
                answer("{'id':'9b','state':'done','result':{'a':[1]}}\n"),
                "SUCCEEDED[{\"a\":[1]}]NaN kept"
            },
            {
                answer("{'id':'9b','state':'paused','new':{'x':1}}\n", "\n", DONE),
                "SUCCEEDED[r\n\u00e9]2.0 kept"
            },
            {answer(DONE, DONE), "SUCCEEDED[r\n\u00e9]2.0 kept"},
            {answer("{'id':'9b','state':'failed','load':3}\n"), "FAILED[]NaN kept"},
            {answer("{'id':'9b','state':'returned'}\n"), "HANDED_BACK[]NaN kept"},
            {answer("{'id':'9b','state':'lost'}\n"), "KILLED[]NaN kept"},
            {plain("503", notBegun + "X-Server-Load: pending=2,x0=1.5\r\n"), "REJECTED[]1.5 kept"},
            {plain("504", notBegun), "REJECTED[]NaN kept"},
            {plain("503", "X-Server-Load: x0=many\r\n"), "UNEXPECTED_STATUS[]NaN kept"},
            {plain("503", "X-Not-Processed: 0\r\n"), "UNEXPECTED_STATUS[]NaN kept"},
            {plain("500", notBegun), "FAILED[]NaN kept"},
            {plain("400", ""), "INVALID_REQUEST[]NaN kept"},
            {plain("404", notBegun), "INVALID_REQUEST[]NaN kept"},
            {plain("429", ""), "UNEXPECTED_STATUS[]NaN kept"},
            {plain("500", "Connection: close\r\n"), "FAILED[]NaN closed"},
            {"HTTP/1.1 100 Continue\r\n\r\n" + answer(DONE), "SUCCEEDED[r\n\u00e9]2.0 kept"},
        };
    }

    @Test(dataProvider = "answers")
    public void decodesHoweverItIsSplit(String text, String expected) throws IOException {
        byte[] bytes = text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut < bytes.length; cut++) {
            heard.setLength(0);
            AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
            decoder.expect("9b");
            decoder.decode(ByteBuffer.wrap(bytes, 0, cut));
            decoder.decode(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
            assertEquals(heard.toString(), expected, "cut at " + cut);
        }
    }

    @DataProvider
    public Object[][] nonsense() {
        return new Object[][] {
            {"hello\r\n\r\n"},
            {answer("hello\n")},
            {answer("[]\n")},
            {answer("{'id':'9b','state':\n")},
            {answer("{'state':'done','result':'r'}\n")},
            {answer("{'id':'9b','state':'done'}\n")},
            {answer("{'id':'9b','state':'running','share':'most'}\n")},
            {answer("{'id':'9c','state':'done','result':'r'}\n")},
            {answer("{'id':'9b','state':'done','result':'r'}{}\n")},
            {answer(STARTED)},
            {answer()},
            {answer("x".repeat(70_000))},
            {answer(DONE) + answer(DONE)},
            {"HTTP/1.1 200 OK\r\nX: " + "x".repeat(9000) + "\r\n\r\n"},
        };
    }

    /**
     * Nothing of it may pass for an answer, and nothing may be thrown but what its caller expects.
     */
    @Test(dataProvider = "nonsense")
    public void refusesWhatIsNotAnAnswer(String text) {
        AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
        decoder.expect("9b");
        assertThrows(
                IOException.class,
                () ->
                        decoder.decode(
                                ByteBuffer.wrap(
                                        text.replace('\'', '"').getBytes(StandardCharsets.UTF_8))));
    }

    /** Bytes left behind an answer belong to nobody: the connection must not be used again. */
    @Test
    public void aTailBarsReuse() throws IOException {
        AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
        decoder.expect("9b");
        heard.setLength(0);
        decoder.decode(
                ByteBuffer.wrap((plain("500", "") + "tail").getBytes(StandardCharsets.UTF_8)));
        assertEquals(heard.toString(), "FAILED[]NaN closed");
    }

    /**
     * Guards against an end counted as proof that nothing ran: these are all that the protocol
     * proves.
     */
    @Test
    public void onlyProvenEndsNeverRan() {
        EnumSet<AttemptResult> never = EnumSet.noneOf(AttemptResult.class);
        for (AttemptResult end : AttemptResult.values()) {
            if (!end.outcome().mayHaveRun()) {
                never.add(end);
            }
        }
        assertEquals(
                never,
                EnumSet.of(
                        AttemptResult.HANDED_BACK,
                        AttemptResult.REJECTED,
                        AttemptResult.CONNECTION_REFUSED,
                        AttemptResult.CONNECT_TIMEOUT,
                        AttemptResult.CONNECT_FAILED_LOCALLY,
                        AttemptResult.BROKEN_BEFORE_SENT,
                        AttemptResult.NOT_SENT));
    }

    @Test
    public void encodesWhatTheClientSent() {
        AttemptRequest message =
                new AttemptRequest(
                        "POST", "/a%20b?q", "9b", null, "7f", new byte[] {'h', 'i'}, false);
        assertEquals(
                PolicyHarness.text(message.encode("127.0.0.1:80", 0.4567)),
                "POST /a%20b?q HTTP/1.1\r\nHost: 127.0.0.1:80\r\nX-Request-ID: 9b\r\nX-Route-Key: 7f\r\n"
                        + "X-Timeout: 0.457\r\nContent-Length: 2\r\n\r\nhi");
    }

    @Override
    public void onStarted() {
        heard.append("started ");
    }

    @Override
    public void onProgress(double share) {
        heard.append(share).append(' ');
    }

    @Override
    public void onEnded(AttemptResult end, byte[] result, double freeSlots) {
        heard.append(end)
                .append('[')
                .append(new String(result, StandardCharsets.UTF_8))
                .append(']')
                .append(freeSlots)
                .append(' ');
    }

    @Override
    public void onComplete(boolean keepsOpen) {
        heard.append(keepsOpen ? "kept" : "closed");
    }
}
