package wheelroute.kit.cli;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the commands that call an admin server against a server with a scripted answer. */
public class AdminTest {
    private static final int TEST_TIMEOUT_MILLIS = 20_000;

    /** Makes the server keep the connection open without sending an answer. */
    private static final String NO_ANSWER = null;

    private final CommandLineHarness harness = new CommandLineHarness();

    /** A server that accepts one connection and answers the first line that it receives. */
    private static final class ScriptedServer implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        final CompletableFuture<String> receivedLine = new CompletableFuture<>();

        ScriptedServer(String answer) throws IOException {
            Thread thread = new Thread(() -> serve(answer));
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(String answer) {
            try (Socket client = socket.accept()) {
                receivedLine.complete(
                        new BufferedReader(
                                        new InputStreamReader(
                                                client.getInputStream(), StandardCharsets.US_ASCII))
                                .readLine());
                if (answer == NO_ANSWER) {
                    // The read returns when the client closes the connection.
                    client.getInputStream().read();
                } else {
                    client.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                receivedLine.completeExceptionally(e);
            }
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"ok ready\n", ExitCode.SUCCESS, "ok ready\n"},
            {"fail draining\n", ExitCode.CHECK_FAILED, "fail draining\n"},
            {"app.pending:1|g\neof\n", ExitCode.SUCCESS, "app.pending:1|g\neof\n"},
            {"eof\n", ExitCode.SUCCESS, "eof\n"},
            {"app.pending:1|g\n", ExitCode.INVALID_INPUT, "sent an incomplete answer"},
            {"ok rea", ExitCode.INVALID_INPUT, "sent an incomplete answer"},
            {"", ExitCode.INVALID_INPUT, "sent an incomplete answer"},
            {
                "HTTP/1.1 400 Bad Request\r\n\r\n",
                ExitCode.INVALID_INPUT,
                "sent an incomplete answer"
            },
            {NO_ANSWER, ExitCode.INVALID_INPUT, "did not answer within 0.2 s"},
        };
    }

    @Test(dataProvider = "answers", timeOut = TEST_TIMEOUT_MILLIS)
    public void exitCodeFollowsAnswer(String answer, int exitCode, String output) throws Exception {
        try (ScriptedServer server = new ScriptedServer(answer)) {
            String timeout = answer == NO_ANSWER ? "0.2" : "10";
            harness.assertExitCode(
                    exitCode, "admin", server.address(), "READY", "--timeout", timeout);
            harness.assertOutputContains(output);
            assertEquals(server.receivedLine.get(), "READY");
        }
    }

    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void peersPrintsMembers() throws Exception {
        String members = "n0 0 alive itself\neof\n";
        try (ScriptedServer server = new ScriptedServer(members)) {
            harness.assertExitCode(ExitCode.SUCCESS, "peers", server.address(), "--timeout", "10");
            assertEquals(harness.output(), members);
            assertEquals(server.receivedLine.get(), "PEERS");
        }
    }

    @DataProvider
    public Object[][] invalidArguments() {
        return new Object[][] {
            {"9500 READY", "HOST:PORT: expected an address, got 9500"},
            {
                "127.0.0.1:9500 READY --timeout 0",
                "--timeout: expected seconds from 0.01 to 60, got 0.0"
            },
            {"127.0.0.1:9500 R\u00c4DY", "CALL: expected printable ASCII without spaces"},
        };
    }

    @Test(dataProvider = "invalidArguments")
    public void rejectsInvalidArgument(String args, String message) {
        harness.assertExitCode(ExitCode.INVALID_INPUT, ("admin " + args).split(" "));
        harness.assertOutputContains(message);
    }

    /**
     * A script that waits for a dispatcher to start depends on the exit code of a refused
     * connection.
     */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void reportsRefusedConnection() throws Exception {
        ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closed.close();
        harness.assertExitCode(
                ExitCode.INVALID_INPUT, "admin", "127.0.0.1:" + closed.getLocalPort(), "READY");
        harness.assertOutputContains("call to the admin server failed");
    }
}
