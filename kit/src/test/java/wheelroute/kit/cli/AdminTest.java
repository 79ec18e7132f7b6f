package wheelroute.kit.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The command that asks a door, against one that says what it is told to. */
public class AdminTest {
    private static final int PATIENCE = 20_000;
    private static final String MUTE = null;

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"ok ready\n", Exit.HOLDS, "ok ready\n"},
            {"fail draining\n", Exit.DOES_NOT_HOLD, "fail draining\n"},
            {"app.pending:1|g\neof\n", Exit.HOLDS, "app.pending:1|g\neof\n"},
            {"eof\n", Exit.HOLDS, "eof\n"},
            {"app.pending:1|g\n", Exit.BAD_INPUT, "no complete answer"},
            {"ok rea", Exit.BAD_INPUT, "no complete answer"},
            {"", Exit.BAD_INPUT, "no complete answer"},
            {"HTTP/1.1 400 Bad Request\r\n\r\n", Exit.BAD_INPUT, "no complete answer"},
            {MUTE, Exit.BAD_INPUT, "has not answered within 0.2 s"},
        };
    }

    @Test(dataProvider = "answers", timeOut = PATIENCE)
    public void theExitCodeIsTheAnswer(String answer, int code, String told) throws Exception {
        try (ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> asked = new CompletableFuture<>();
            Thread thread = new Thread(() -> serve(door, answer, asked));
            thread.setDaemon(true);
            thread.start();
            StringWriter said = new StringWriter();
            String wait = answer == MUTE ? "0.2" : "10";
            assertEquals(
                    run(said, "127.0.0.1:" + door.getLocalPort(), "READY", "--timeout", wait),
                    code,
                    said.toString());
            assertTrue(said.toString().contains(told), said.toString());
            assertEquals(asked.get(), "READY");
        }
    }

    /** The same door, by a name of its own. */
    @Test(timeOut = PATIENCE)
    public void peersAsksWhoIsThere() throws Exception {
        try (ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> asked = new CompletableFuture<>();
            Thread thread = new Thread(() -> serve(door, "n0 0 alive itself\neof\n", asked));
            thread.setDaemon(true);
            thread.start();
            StringWriter said = new StringWriter();
            assertEquals(
                    CommandLineTest.run(
                            said, "peers", "127.0.0.1:" + door.getLocalPort(), "--timeout", "10"),
                    Exit.HOLDS,
                    said.toString());
            assertEquals(said.toString(), "n0 0 alive itself\neof\n");
            assertEquals(asked.get(), "PEERS");
        }
    }

    private static void serve(ServerSocket door, String answer, CompletableFuture<String> asked) {
        try (Socket caller = door.accept()) {
            asked.complete(
                    new BufferedReader(
                                    new InputStreamReader(
                                            caller.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine());
            if (answer == MUTE) {
                // Until the other side gives up.
                caller.getInputStream().read();
            } else {
                caller.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (Exception e) {
            asked.completeExceptionally(e);
        }
    }

    @DataProvider
    public Object[][] bad() {
        return new Object[][] {
            {"9500 READY", "HOST:PORT: 9500 is no address"},
            {"127.0.0.1:9500 READY --timeout 0", "--timeout: 0.0 is not from"},
            {"127.0.0.1:9500 R\u00c4DY", "is no command"},
        };
    }

    @Test(dataProvider = "bad")
    public void badInputIsNamed(String args, String told) {
        StringWriter said = new StringWriter();
        assertEquals(run(said, args.split(" ")), Exit.BAD_INPUT);
        assertTrue(said.toString().contains(told), said.toString());
    }

    /** Nobody there is the usual case for a script that waits for a start. */
    @Test(timeOut = PATIENCE)
    public void nobodyThereIsTold() throws Exception {
        ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        gone.close();
        StringWriter said = new StringWriter();
        assertEquals(run(said, "127.0.0.1:" + gone.getLocalPort(), "READY"), Exit.BAD_INPUT);
        assertTrue(said.toString().contains("cannot be called"), said.toString());
    }

    private static int run(StringWriter said, String... args) {
        String[] all = new String[args.length + 1];
        all[0] = "admin";
        System.arraycopy(args, 0, all, 1, args.length);
        return CommandLineTest.run(said, all);
    }
}
