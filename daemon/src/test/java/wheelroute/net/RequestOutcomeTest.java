package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.ACCEPTED;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.REJECTION;
import static wheelroute.net.HttpMessages.RESPONSE_HEAD;
import static wheelroute.net.HttpMessages.STARTED;
import static wheelroute.net.HttpMessages.START_THEN_CLOSE;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.jobRequestWithId;
import static wheelroute.net.HttpMessages.progressLine;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.statusOf;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Which response a client receives, depending on how the workers handled its request. */
public class RequestOutcomeTest extends ServiceHarness {
    @DataProvider
    public Object[][] workerResponses() {
        String otherId = RESPONSE_HEAD + progressLine("done").replace("ID", "78") + "0\r\n\r\n";
        String errorResponse = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
        return new Object[][] {
            // Each row has the idempotency, the responses to the attempts, the status that the
            // client receives and the number of attempts.
            {Idempotency.NON_IDEMPOTENT, List.of(SUCCESS), 200, 1},
            {Idempotency.NON_IDEMPOTENT, List.of(REJECTION, SUCCESS), 200, 2},
            {
                Idempotency.NON_IDEMPOTENT,
                List.of(RESPONSE_HEAD + progressLine("returned") + "0\r\n\r\n", SUCCESS),
                200,
                2
            },
            {Idempotency.NON_IDEMPOTENT, List.of(CLOSE, SUCCESS), 502, 1},
            {
                Idempotency.IDEMPOTENT,
                List.of("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", SUCCESS),
                502,
                1
            },
            {Idempotency.NON_IDEMPOTENT, List.of(START_THEN_CLOSE, SUCCESS), 502, 1},
            {Idempotency.NON_IDEMPOTENT, List.of(errorResponse, SUCCESS), 502, 1},
            {
                Idempotency.NON_IDEMPOTENT,
                List.of(RESPONSE_HEAD + progressLine("lost") + "0\r\n\r\n", SUCCESS),
                502,
                1
            },
            {Idempotency.NON_IDEMPOTENT, List.of(REJECTION, REJECTION), 503, 2},
            {Idempotency.IDEMPOTENT, List.of(CLOSE, SUCCESS), 200, 2},
            {Idempotency.IDEMPOTENT, List.of(START_THEN_CLOSE, SUCCESS), 200, 2},
            {Idempotency.IDEMPOTENT, List.of("nonsense\r\n\r\n", SUCCESS), 200, 2},
            {Idempotency.IDEMPOTENT, List.of(otherId, SUCCESS), 200, 2},
            {
                Idempotency.IDEMPOTENT,
                List.of(RESPONSE_HEAD + STARTED + "0\r\n\r\n", SUCCESS),
                200,
                2
            },
        };
    }

    @Test(dataProvider = "workerResponses", timeOut = TIMEOUT_MILLIS)
    public void answersOnceAccordingToWorkerResponses(
            Idempotency idempotency, List<String> responses, int status, int attempts)
            throws Exception {
        serve(idempotency, responses.toArray(new String[0]));
        String response = exchange(connect(), jobRequest(10));
        assertEquals(statusOf(response), status, response);
        assertEquals(response.endsWith("\r\n\r\nfine"), status == 200, response);
        assertEquals(workers.messages.get(), attempts);
        String first = workers.received.take();
        assertTrue(
                first.startsWith("POST /job/x HTTP/1.1\r\n") && first.endsWith("\r\n\r\nhi"),
                first);
        assertEquals(metric("launches_total"), attempts);
        assertEquals(metric("answers_total{kind=\"fulfilled\"}"), status == 200 ? 1 : 0);
        assertEquals(metric("submissions_open"), 0);
    }

    /**
     * Workers cannot distinguish two open requests with the same id, so the second is rejected and
     * the first continues.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void rejectsDuplicateOfOpenRequestId() throws Exception {
        workers.responses.addAll(List.of(ACCEPTED, SUCCESS));
        serve(Idempotency.IDEMPOTENT);
        Socket first = connect();
        first.getOutputStream().write(jobRequest(1.5).getBytes(StandardCharsets.UTF_8));
        workers.nextFirstLine();
        Socket second = connect();
        assertEquals(statusOf(exchange(second, jobRequest(10))), 409);
        assertEquals(statusOf(readMessage(first.getInputStream())), 503);
        assertEquals(workers.messages.get(), 1);
        // Once the first request is answered, its id may be used again, even on the connection on
        // which it was rejected.
        assertEquals(statusOf(exchange(second, jobRequest(10))), 200);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void requiresKeyForRequestsIdempotentByKey() throws Exception {
        serve(Idempotency.IDEMPOTENT_BY_KEY, SUCCESS);
        assertEquals(
                statusOf(exchange(connect(), jobRequest(10).replace("Idempotency-Key", "X-Other"))),
                400);
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        assertEquals(workers.messages.get(), 1);
    }

    /** A worker that refuses the connection cannot have run the request. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void retriesNonIdempotentRequestAfterRefusedConnection() throws Exception {
        ServerSocket closedServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress refusing = (InetSocketAddress) closedServer.getLocalSocketAddress();
        closedServer.close();
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, SUCCESS, SUCCESS, SUCCESS, SUCCESS));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(refusing, workers.listen()));
        // The first choice between two equal workers is random. The probability that none of six
        // requests meets the refusing worker is 1 in 64.
        for (int i = 0; i < 6; i++) {
            assertEquals(statusOf(exchange(connect(), jobRequestWithId(10 + i))), 200);
        }
    }

    @DataProvider
    public Object[][] idempotencies() {
        return new Object[][] {{Idempotency.IDEMPOTENT, 503}, {Idempotency.NON_IDEMPOTENT, 502}};
    }

    /** A non-idempotent request may have run, so it is failed rather than rejected. */
    @Test(dataProvider = "idempotencies", timeOut = TIMEOUT_MILLIS)
    public void answersBeforeDeadlineWhenWorkerDoesNotRespond(Idempotency idempotency, int status)
            throws Exception {
        serve(idempotency);
        long before = System.nanoTime();
        String response = exchange(connect(), jobRequest(0.3));
        double elapsedSeconds = (System.nanoTime() - before) / 1e9;
        assertEquals(statusOf(response), status, response);
        assertTrue(
                elapsedSeconds > 0.2 && elapsedSeconds < 1.3,
                "answered after " + elapsedSeconds + " s");
        assertTrue(workers.closed.take() > 0);
        assertEquals(metric("launch_ends_total{end=\"timed_out\"}"), 1);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void limitsClientTimeoutToConfiguredMaximum() throws Exception {
        serve(Idempotency.IDEMPOTENT);
        assertEquals(statusOf(exchange(connect(), jobRequest(99_999_999))), 503);
    }

    @DataProvider
    public Object[][] messagesThatAreNoRequests() {
        return new Object[][] {
            {HEALTH_CHECK, 200},
            {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404},
            {jobRequest(1).replace("/job/", "/other/"), 404},
            {jobRequest(1).replace("POST", "PUT"), 404},
            {jobRequest(1).replace("X-Request-ID", "X-Other"), 400},
            {jobRequest(1).replace("X-Timeout", "X-Other"), 400},
            {jobRequest(1).replace("1.0", "0"), 400},
            {jobRequest(1).replace("1.0", "soon"), 400},
            {"hello\r\n\r\n", 400},
            {jobRequest(1).replace("Content-Length: 2", "Content-Length: 99999"), 413},
            {jobRequest(1).replace("77", "7".repeat(10_000)), 431},
        };
    }

    @Test(dataProvider = "messagesThatAreNoRequests", timeOut = TIMEOUT_MILLIS)
    public void answersMessagesThatAreNoRequestsWithoutAcceptingThem(String message, int status)
            throws Exception {
        serve(Idempotency.IDEMPOTENT, SUCCESS);
        assertEquals(statusOf(exchange(connect(), message)), status);
        assertEquals(metric("submissions_taken_total"), 0);
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
    }
}
