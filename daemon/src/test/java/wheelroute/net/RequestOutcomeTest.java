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

/** What a client is answered, depending on what the workers did with its request. */
public class RequestOutcomeTest extends ServiceHarness {
    @DataProvider
    public Object[][] workerResponses() {
        String otherId = RESPONSE_HEAD + progressLine("done").replace("ID", "78") + "0\r\n\r\n";
        String plain = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
        return new Object[][] {
            // Idempotency, responses to the attempts, status of the client, number of attempts.
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
            {Idempotency.NON_IDEMPOTENT, List.of(plain, SUCCESS), 502, 1},
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
            Idempotency idempotency, List<String> answers, int status, int attempts)
            throws Exception {
        serve(idempotency, answers.toArray(new String[0]));
        String answer = exchange(connect(), jobRequest(10));
        assertEquals(statusOf(answer), status, answer);
        assertEquals(answer.endsWith("\r\n\r\nfine"), status == 200, answer);
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
     * Two open requests with one id are indistinguishable at the workers; the first one goes on.
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
        // Once it is answered the id is free, and the refused connection is as good as any.
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
        ServerSocket dead = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress refusing = (InetSocketAddress) dead.getLocalSocketAddress();
        dead.close();
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, SUCCESS, SUCCESS, SUCCESS, SUCCESS));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(refusing, workers.listen()));
        // Which of two equals is chosen first is chance: six go wrong all the same with one chance
        // in 64.
        for (int i = 0; i < 6; i++) {
            assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
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
        String answer = exchange(connect(), jobRequest(0.3));
        double took = (System.nanoTime() - before) / 1e9;
        assertEquals(statusOf(answer), status, answer);
        assertTrue(took > 0.2 && took < 1.3, "after " + took);
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
