package wheelroute.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wheelroute.BackgroundTask;

/**
 * A worker or discovery on loopback sockets, which records each message and answers the nth message
 * with the nth response. Each connection has a thread of its own.
 */
final class StubServer {
    private static final int LISTEN_BACKLOG = 50;
    private static final int MAX_WAIT_MILLIS = 20_000;
    private static final int MAX_PROMPT_WAIT_SECONDS = 2;
    private static final Pattern HOLD_MILLIS = Pattern.compile("hold_ms=(\\d+)");
    private static final int MIN_WATCH_HOLD_MILLIS = 3000;
    private static final int MAX_WATCH_HOLD_MILLIS = 3800;
    private static final String NO_MESSAGE = "no message received";

    final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    /** Numbers, counted from 1, of the connections that have been closed. */
    final BlockingQueue<Integer> closed = new LinkedBlockingQueue<>();

    final List<String> responses = new ArrayList<>();
    final AtomicInteger messages = new AtomicInteger();

    /** Messages whose response, if there is one, has been written or whose connection is closed. */
    final AtomicInteger answered = new AtomicInteger();

    final AtomicInteger connections = new AtomicInteger();

    /** Supplies the responses to the messages after those that {@link #responses} covers. */
    volatile Supplier<String> defaultResponse = () -> HttpMessages.NO_RESPONSE;

    /** The connection of the last message. */
    volatile Socket lastConnection;

    private final List<AutoCloseable> resources;

    /** Creates a server that registers its sockets with the resources, to be closed by the test. */
    StubServer(List<AutoCloseable> resources) {
        this.resources = resources;
    }

    InetSocketAddress listen() throws IOException {
        return listen(0);
    }

    InetSocketAddress listen(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        // A port that was closed before may be listened on again.
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), LISTEN_BACKLOG);
        resources.add(server);
        BackgroundTask.start(() -> acceptAll(server));
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void acceptAll(ServerSocket server) throws IOException {
        while (true) {
            Socket socket = server.accept();
            resources.add(socket);
            int number = connections.incrementAndGet();
            BackgroundTask.start(
                    () -> {
                        try (socket) {
                            serve(socket);
                        } finally {
                            closed.add(number);
                        }
                    });
        }
    }

    private void serve(Socket socket) throws IOException {
        boolean closes = false;
        while (!closes) {
            String message = HttpMessages.readMessage(socket.getInputStream());
            lastConnection = socket;
            int number = messages.getAndIncrement();
            received.add(message);
            String response =
                    number < responses.size() ? responses.get(number) : defaultResponse.get();
            try {
                closes = respond(socket, message, response);
            } finally {
                answered.incrementAndGet();
            }
        }
    }

    /** Sends the response, if there is one; returns whether the connection was closed after it. */
    private static boolean respond(Socket socket, String message, String response)
            throws IOException {
        if (response == HttpMessages.NO_RESPONSE) {
            return false;
        }
        String id = message.replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
        HttpMessages.send(socket, response.replace("ID", id));
        if (response.equals(HttpMessages.CLOSE) || response.equals(HttpMessages.START_THEN_CLOSE)) {
            socket.close();
            return true;
        }
        return false;
    }

    /** Returns the first line of the next message, with the hold time of a watch masked. */
    String nextFirstLine() throws InterruptedException {
        return firstLine(received.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /**
     * Like {@link #nextFirstLine}, for a message that is sent while the test's clock is stopped.
     */
    String promptFirstLine() throws InterruptedException {
        return firstLine(received.poll(MAX_PROMPT_WAIT_SECONDS, TimeUnit.SECONDS));
    }

    private static String firstLine(String message) {
        return message == null
                ? NO_MESSAGE
                : maskHoldTime(message.substring(0, message.indexOf("\r\n")));
    }

    /** Replaces the hold time of a watch, which has a jitter, if it is within 3 to 3.8 s. */
    private static String maskHoldTime(String call) {
        Matcher hold = HOLD_MILLIS.matcher(call);
        boolean isWatch =
                hold.find()
                        && Integer.parseInt(hold.group(1)) >= MIN_WATCH_HOLD_MILLIS
                        && Integer.parseInt(hold.group(1)) < MAX_WATCH_HOLD_MILLIS;
        return isWatch ? hold.replaceFirst("hold_ms=HELD") : call;
    }

    /** Sends text on the connection of the last message, without a message to respond to. */
    void sendUnsolicited(String text) throws IOException {
        HttpMessages.send(lastConnection, text);
    }

    /** Discards all recorded messages and connections, and all responses. */
    void reset() {
        received.clear();
        closed.clear();
        responses.clear();
        messages.set(0);
        answered.set(0);
        connections.set(0);
        defaultResponse = () -> HttpMessages.NO_RESPONSE;
    }
}
