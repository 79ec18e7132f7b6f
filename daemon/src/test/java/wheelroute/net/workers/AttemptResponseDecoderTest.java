package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AttemptResponseDecoderTest implements AttemptResponseDecoder.Listener {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String STARTED = "{'id':'9b','from':'s-0','state':'started'}\n";
    private static final String RUNNING =
            "{'id':'9b','from':'s-0','state':'running','share':0.4}\n";
    private static final String DONE =
            "{'id':'9b','state':'done','load':{'pending':1,'x0':2}," + "'result':'r\\n\u00e9'}\n";
    private static final String LAST = "0\r\n\r\n";

    private final StringBuilder events = new StringBuilder();

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
                + "\r\n"
                + text
                + "\r\n";
    }

    private static String chunkedResponse(String... lines) {
        StringBuilder out = new StringBuilder(HEAD);
        for (String line : lines) {
            out.append(chunk(line));
        }
        return out.append(LAST).toString();
    }

    private static String responseWithStatus(String status, String fields) {
        return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 3\r\n\r\nbad";
    }

    @DataProvider
    public Object[][] responses() {
        String notProcessed = "X-Not-Processed: 1\r\n";
        return new Object[][] {
            {chunkedResponse(STARTED, RUNNING, DONE), "started 0.4 SUCCEEDED[r\n\u00e9]2.0 kept"},
            {chunkedResponse(STARTED + RUNNING + DONE), "started 0.4 SUCCEEDED[r\n\u00e9]2.0 kept"},
            {chunkedResponse(DONE.trim()), "SUCCEEDED[r\n\u00e9]2.0 kept"},
            {
                chunkedResponse("{'id':'9b','state':'done','result':{'a':[1]}}\n"),
                "SUCCEEDED[{\"a\":[1]}]NaN kept"
            },
            {
                chunkedResponse("{'id':'9b','state':'paused','new':{'x':1}}\n", "\n", DONE),
                "SUCCEEDED[r\n\u00e9]2.0 kept"
            },
            {chunkedResponse(DONE, DONE), "SUCCEEDED[r\n\u00e9]2.0 kept"},
            {chunkedResponse("{'id':'9b','state':'failed','load':3}\n"), "FAILED[]NaN kept"},
            {chunkedResponse("{'id':'9b','state':'returned'}\n"), "HANDED_BACK[]NaN kept"},
            {chunkedResponse("{'id':'9b','state':'lost'}\n"), "KILLED[]NaN kept"},
            {
                responseWithStatus("503", notProcessed + "X-Server-Load: pending=2,x0=1.5\r\n"),
                "REJECTED[]1.5 kept"
            },
            {responseWithStatus("504", notProcessed), "REJECTED[]NaN kept"},
            {
                responseWithStatus("503", "X-Server-Load: x0=many\r\n"),
                "UNEXPECTED_STATUS[]NaN kept"
            },
            {responseWithStatus("503", "X-Not-Processed: 0\r\n"), "UNEXPECTED_STATUS[]NaN kept"},
            {responseWithStatus("500", notProcessed), "FAILED[]NaN kept"},
            {responseWithStatus("400", ""), "INVALID_REQUEST[]NaN kept"},
            {responseWithStatus("404", notProcessed), "INVALID_REQUEST[]NaN kept"},
            {responseWithStatus("429", ""), "UNEXPECTED_STATUS[]NaN kept"},
            {responseWithStatus("500", "Connection: close\r\n"), "FAILED[]NaN closed"},
            {
                "HTTP/1.1 100 Continue\r\n\r\n" + chunkedResponse(DONE),
                "SUCCEEDED[r\n\u00e9]2.0 kept"
            },
        };
    }

    @Test(dataProvider = "responses")
    public void decodesResponseSplitAnywhere(String text, String expected) throws IOException {
        byte[] bytes = text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut < bytes.length; cut++) {
            events.setLength(0);
            AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
            decoder.expectResponse("9b");
            decoder.decode(ByteBuffer.wrap(bytes, 0, cut));
            decoder.decode(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
            assertEquals(events.toString(), expected, "response split after " + cut + " bytes");
        }
    }

    @DataProvider
    public Object[][] malformedResponses() {
        return new Object[][] {
            {"hello\r\n\r\n"},
            {chunkedResponse("hello\n")},
            {chunkedResponse("[]\n")},
            {chunkedResponse("{'id':'9b','state':\n")},
            {chunkedResponse("{'state':'done','result':'r'}\n")},
            {chunkedResponse("{'id':'9b','state':'done'}\n")},
            {chunkedResponse("{'id':'9b','state':'running','share':'most'}\n")},
            {chunkedResponse("{'id':'9c','state':'done','result':'r'}\n")},
            {chunkedResponse("{'id':'9b','state':'done','result':'r'}{}\n")},
            {chunkedResponse(STARTED)},
            {chunkedResponse()},
            {chunkedResponse("x".repeat(70_000))},
            {chunkedResponse(DONE) + chunkedResponse(DONE)},
            {"HTTP/1.1 200 OK\r\nX: " + "x".repeat(9000) + "\r\n\r\n"},
        };
    }

    @Test(dataProvider = "malformedResponses")
    public void rejectsMalformedResponse(String text) {
        AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
        decoder.expectResponse("9b");
        assertThrows(
                IOException.class,
                () ->
                        decoder.decode(
                                ByteBuffer.wrap(
                                        text.replace('\'', '"').getBytes(StandardCharsets.UTF_8))));
    }

    @Test
    public void connectionMustNotBeReusedAfterExtraBytes() throws IOException {
        AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
        decoder.expectResponse("9b");
        events.setLength(0);
        decoder.decode(
                ByteBuffer.wrap(
                        (responseWithStatus("500", "") + "tail").getBytes(StandardCharsets.UTF_8)));
        assertEquals(events.toString(), "FAILED[]NaN closed");
    }

    @Override
    public void onStarted() {
        events.append("started ");
    }

    @Override
    public void onProgress(double fraction) {
        events.append(fraction).append(' ');
    }

    @Override
    public void onEnded(AttemptResult result, byte[] body, double freeSlots) {
        events.append(result)
                .append('[')
                .append(new String(body, StandardCharsets.UTF_8))
                .append(']')
                .append(freeSlots)
                .append(' ');
    }

    @Override
    public void onComplete(boolean keepsOpen) {
        events.append(keepsOpen ? "kept" : "closed");
    }
}
