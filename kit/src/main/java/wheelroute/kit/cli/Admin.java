package wheelroute.kit.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheelroute.config.SocketAddresses;

@Command(
        name = "admin",
        mixinStandardHelpOptions = true,
        description = "Ask a dispatcher's operators' door; a READY that says no ends with 3.")
final class Admin implements Callable<Integer> {
    /** Far more than the figures of any dispatcher: what listens there may be something else. */
    private static final int MOST_ANSWER = 1 << 20;

    private static final double MILLIS = 1e3;

    @Parameters(index = "0", paramLabel = "HOST:PORT", description = "the door's address")
    private String address;

    @Parameters(index = "1", paramLabel = "CALL", description = "READY, STATS or PEERS")
    private String call;

    @Option(
            names = "--timeout",
            defaultValue = "1",
            paramLabel = "S",
            description = "for the whole answer (default: ${DEFAULT-VALUE})")
    private double timeout;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        return ask(spec, address, call, timeout);
    }

    /** Prints what the door answers; a no ends with 3. */
    static int ask(CommandSpec spec, String address, String call, double timeout)
            throws CommandLineException {
        InetSocketAddress door = SocketAddresses.parse(address);
        if (door == null) {
            throw new CommandLineException("HOST:PORT: " + address + " is no address");
        }
        if (!call.matches("[!-~]+")) {
            throw new CommandLineException("CALL: " + call + " is no word");
        }
        if (!(timeout >= 0.01 && timeout <= 60)) {
            throw new CommandLineException("--timeout: " + timeout + " is not from 0.01 to 60");
        }
        String answer = answer(door, address, call, timeout);
        String last = answer.substring(answer.lastIndexOf('\n', answer.length() - 2) + 1).strip();
        boolean says = answer.startsWith("ok") || answer.startsWith("fail");
        if (!answer.endsWith("\n") || (!says && !last.equals("eof"))) {
            throw new CommandLineException(
                    address + " gives no whole answer: no operators' door, or one that broke off");
        }
        spec.commandLine().getOut().print(answer);
        spec.commandLine().getOut().flush();
        return answer.startsWith("fail") ? Exit.DOES_NOT_HOLD : Exit.HOLDS;
    }

    private static String answer(
            InetSocketAddress door, String address, String call, double timeout)
            throws CommandLineException {
        long end = System.nanoTime() + (long) (timeout * 1e9);
        try (Socket socket = new Socket()) {
            socket.connect(door, left(end));
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            StringBuilder answer = new StringBuilder();
            byte[] piece = new byte[4096];
            for (int got = 0; got >= 0 && answer.length() < MOST_ANSWER; ) {
                answer.append(new String(piece, 0, got, StandardCharsets.ISO_8859_1));
                // Anew before each read: pieces that keep coming must not make it last for ever.
                socket.setSoTimeout(left(end));
                got = in.read(piece);
            }
            return answer.toString();
        } catch (SocketTimeoutException e) {
            throw new CommandLineException(address + " has not answered within " + timeout + " s");
        } catch (IOException e) {
            throw new CommandLineException(address + " cannot be asked: " + e.getMessage());
        }
    }

    /** Milliseconds; never 0, which would mean for ever. */
    private static int left(long end) throws SocketTimeoutException {
        double left = (end - System.nanoTime()) / 1e9;
        if (left <= 0) {
            throw new SocketTimeoutException("no time left");
        }
        return (int) Math.max(1, left * MILLIS);
    }
}
