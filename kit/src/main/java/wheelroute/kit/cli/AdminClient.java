package wheelroute.kit.cli;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;
import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import wheelroute.config.SocketAddresses;

/** Client of a dispatcher's admin server that waits for the complete answer to a command. */
final class AdminClient {
    static final String FAIL = "fail";
    private static final String OK = "ok";
    private static final String END_OF_METRICS = "eof";

    /**
     * Bounds the memory for an answer in case another kind of server listens at the address; the
     * metrics of any dispatcher are far shorter.
     */
    private static final int MAX_ANSWER_CHARS = 1 << 20;

    private static final int BUFFER_BYTES = 4096;
    private static final double MIN_TIMEOUT_SECONDS = 0.01;
    private static final double MAX_TIMEOUT_SECONDS = 60;
    private final String address;
    private final InetSocketAddress server;
    private final double timeoutSeconds;

    private AdminClient(String address, InetSocketAddress server, double timeoutSeconds) {
        this.address = address;
        this.server = server;
        this.timeoutSeconds = timeoutSeconds;
    }

    /** Creates a client; throws if the address is invalid or the timeout is out of bounds. */
    static AdminClient create(String address, double timeoutSeconds) throws CommandLineException {
        InetSocketAddress server = SocketAddresses.parse(address);
        if (server == null) {
            throw new CommandLineException("HOST:PORT: expected an address, got " + address);
        }
        if (!(timeoutSeconds >= MIN_TIMEOUT_SECONDS && timeoutSeconds <= MAX_TIMEOUT_SECONDS)) {
            throw new CommandLineException(
                    "--timeout: expected seconds from 0.01 to 60, got " + timeoutSeconds);
        }
        return new AdminClient(address, server, timeoutSeconds);
    }

    /** Returns the complete answer to a command, on a connection of its own. */
    String call(String command) throws CommandLineException {
        if (!command.matches("[!-~]+")) {
            throw new CommandLineException(
                    "CALL: expected printable ASCII without spaces, got " + command);
        }
        String answer = exchange(command);
        if (!isComplete(answer)) {
            throw new CommandLineException(
                    address
                            + " sent an incomplete answer: not an admin server, or the connection"
                            + " was closed early");
        }
        return answer;
    }

    private static boolean isComplete(String answer) {
        boolean isStatus = answer.startsWith(OK) || answer.startsWith(FAIL);
        String lastLine =
                answer.substring(answer.lastIndexOf('\n', answer.length() - 2) + 1).strip();
        return answer.endsWith("\n") && (isStatus || lastLine.equals(END_OF_METRICS));
    }

    private String exchange(String command) throws CommandLineException {
        long deadlineNanos = System.nanoTime() + (long) (timeoutSeconds * NANOS_PER_SECOND);
        try (Socket socket = new Socket()) {
            socket.connect(server, millisUntil(deadlineNanos));
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            return readToEnd(socket, deadlineNanos);
        } catch (SocketTimeoutException e) {
            throw new CommandLineException(
                    address + " did not answer within " + timeoutSeconds + " s");
        } catch (IOException e) {
            throw new CommandLineException(
                    address + ": call to the admin server failed: " + e.getMessage());
        }
    }

    private static String readToEnd(Socket socket, long deadlineNanos) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder answer = new StringBuilder();
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int count = 0; count >= 0 && answer.length() < MAX_ANSWER_CHARS; ) {
            answer.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            // The socket timeout is set anew because the deadline applies to the whole answer.
            socket.setSoTimeout(millisUntil(deadlineNanos));
            count = in.read(buffer);
        }
        return answer.toString();
    }

    /** Returns the time until a deadline, at least 1 ms because a socket treats 0 as no timeout. */
    private static int millisUntil(long deadlineNanos) throws SocketTimeoutException {
        double leftSeconds = (deadlineNanos - System.nanoTime()) / NANOS_PER_SECOND;
        if (leftSeconds <= 0) {
            throw new SocketTimeoutException("deadline has passed");
        }
        return (int) Math.max(1, leftSeconds * MILLIS_PER_SECOND);
    }
}
