package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * A discovery that serves all dispatchers from one queue, at so many calls a second. It turns a
 * call away at once when the queue is too long, and fails one that has waited for its timeout; the
 * work on a call is spent whether or not its caller still waits. A watch that goes on after an
 * answer costs nothing. While it is down, calls are accepted and fail at their timeout. All on one
 * event loop.
 */
final class CrowdedDiscovery {
    private static final Pattern CHANGES =
            Pattern.compile("/v1/servers\\?from=(\\d{1,18})&hold_ms=(\\d{1,6})");
    private static final double MILLIS = 1e3;
    private static final String UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /**
     * What it can do.
     *
     * @param callsPerSecond that it works through
     * @param timeout seconds after which a call that waits fails
     * @param maxBacklog seconds of queued work, beyond which a call is turned away
     */
    record Capacity(double callsPerSecond, double timeout, double maxBacklog) {}

    private final EventLoop loop;
    private final Capacity capacity;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Set<DispatcherConnection> connections = new HashSet<>();

    /** When each dispatcher was first answered with the present version; NaN before. */
    private final double[] answeredAt;

    private long version = 1;
    private boolean down;
    private double freeAt;
    private int callsTurnedAway;
    private int callsUnwanted;

    /** On the loop's thread. */
    CrowdedDiscovery(EventLoop loop, int dispatchers, Capacity capacity) throws IOException {
        this.loop = loop;
        this.capacity = capacity;
        answeredAt = new double[dispatchers];
        forgetAnswers();
        for (int i = 0; i < dispatchers; i++) {
            addresses.add(listen(i));
        }
    }

    private InetSocketAddress listen(int dispatcher) throws IOException {
        ServerSocketChannel server =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new EventLoop.ChannelHandler() {
                            @Override
                            public Connection onOpened(EndPoint endPoint) {
                                return new DispatcherConnection(dispatcher, endPoint);
                            }

                            @Override
                            public void onFailed(Throwable cause) {
                                // The caller comes again.
                            }
                        });
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
    }

    private void forgetAnswers() {
        Arrays.fill(answeredAt, Double.NaN);
    }

    InetSocketAddress address(int dispatcher) {
        return addresses.get(dispatcher);
    }

    /** When the dispatcher was first answered with the present version; NaN before. */
    double answeredAt(int dispatcher) {
        return answeredAt[dispatcher];
    }

    /** A new process asks for itself. */
    void forgetAnswer(int dispatcher) {
        answeredAt[dispatcher] = Double.NaN;
    }

    /** Its calls and watches end, and later ones fail after waiting. */
    void goDown() {
        down = true;
        new ArrayList<>(connections).forEach(DispatcherConnection::fail);
    }

    /** It serves again, with a list that has changed meanwhile. */
    void comeBack() {
        down = false;
        version++;
        forgetAnswers();
    }

    /** For a failure's message. */
    String counts() {
        return callsTurnedAway + " calls turned away, " + callsUnwanted + " answers nobody read";
    }

    private final class DispatcherConnection extends ServerConnection {
        private final int dispatcher;
        private boolean watching;
        private boolean ended;
        private long from;

        /** The call that is open; answers and failures of earlier ones are out of date. */
        private int call;

        private boolean isOpen;

        DispatcherConnection(int dispatcher, EndPoint endPoint) {
            super(endPoint, CrowdedDiscovery.this.loop);
            this.dispatcher = dispatcher;
            connections.add(this);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            int current = ++call;
            isOpen = true;
            Matcher changes = CHANGES.matcher(message.target());
            from = changes.matches() ? Long.parseLong(changes.group(1)) : 0;
            double hold = changes.matches() ? Double.parseDouble(changes.group(2)) / MILLIS : 0;
            if (down) {
                loop.schedule(capacity.timeout, () -> failIfOpen(current));
            } else if (watching) {
                answerNowOrAfter(current, hold);
            } else if (freeAt - loop.now() > capacity.maxBacklog) {
                callsTurnedAway++;
                fail();
            } else {
                waitForTurn(current, hold);
            }
        }

        private void waitForTurn(int current, double hold) {
            freeAt = Math.max(freeAt, loop.now()) + 1 / capacity.callsPerSecond;
            double wait = freeAt - loop.now();
            if (wait > capacity.timeout) {
                loop.schedule(capacity.timeout, () -> failIfOpen(current));
            } else {
                loop.schedule(wait, () -> answerNowOrAfter(current, hold));
            }
        }

        private void answerNowOrAfter(int current, double hold) {
            if (!isOpen || current != call) {
                callsUnwanted++;
            } else if (from < version || hold == 0) {
                answer();
            } else {
                watching = true;
                loop.schedule(hold, () -> answerIfOpen(current));
            }
        }

        private void answerIfOpen(int current) {
            if (isOpen && current == call) {
                answer();
            }
        }

        private void answer() {
            isOpen = false;
            watching = true;
            if (Double.isNaN(answeredAt[dispatcher])) {
                answeredAt[dispatcher] = loop.now();
            }
            String json =
                    "{\"version\":" + version + ",\"full\":" + (from == 0) + ",\"servers\":[]}";
            out.send(
                    "HTTP/1.1 200 OK\r\nContent-Length: "
                            + json.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n\r\n"
                            + json);
        }

        private void failIfOpen(int current) {
            if (current == call) {
                fail();
            }
        }

        private void fail() {
            if (isOpen && !ended) {
                isOpen = false;
                watching = false;
                out.send(UNAVAILABLE);
            }
        }

        @Override
        protected void onClosed() {
            ended = true;
            isOpen = false;
            connections.remove(this);
        }
    }
}
