package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * A discovery that serves the calls of all dispatchers from one queue at a limited rate. It rejects
 * a call at once if the queue is too long and fails a call that has waited for its timeout, but
 * spends its capacity on a call whether or not the caller still waits. A watch that continues after
 * a response uses no capacity. During an outage, calls are accepted and fail at their timeout. Used
 * on the event loop's thread.
 */
final class OverloadedDiscovery {
    private static final String UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /**
     * Limits of the service.
     *
     * @param timeoutSeconds time after which a queued call fails
     * @param maxBacklogSeconds duration of the queued work above which a call is rejected
     */
    record Capacity(double callsPerSecond, double timeoutSeconds, double maxBacklogSeconds) {}

    private final EventLoop loop;
    private final Capacity capacity;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Set<DispatcherConnection> connections = new HashSet<>();

    /**
     * Time at which each dispatcher first received the present list version, by dispatcher number;
     * NaN before.
     */
    private final double[] answeredAt;

    private long version = 1;
    private boolean isDown;

    /** Time at which all calls that are queued now will have been served. */
    private double idleAt;

    private int rejectedCalls;
    private int unreadResponses;

    /** Creates a discovery and starts to listen on a port for each dispatcher. */
    OverloadedDiscovery(EventLoop loop, int dispatchers, Capacity capacity) throws IOException {
        this.loop = loop;
        this.capacity = capacity;
        answeredAt = new double[dispatchers];
        Arrays.fill(answeredAt, Double.NaN);
        for (int i = 0; i < dispatchers; i++) {
            addresses.add(listen(i));
        }
    }

    private InetSocketAddress listen(int dispatcher) throws IOException {
        ServerSocketChannel server =
                loop.listen(
                        Loopback.anyPort(),
                        new EventLoop.ChannelHandler() {
                            @Override
                            public Connection onOpened(EndPoint endPoint) {
                                return new DispatcherConnection(dispatcher, endPoint);
                            }

                            @Override
                            public void onFailed(Throwable cause) {
                                // The dispatcher retries a call whose connection failed.
                            }
                        });
        return Loopback.address(server.socket().getLocalPort());
    }

    InetSocketAddress address(int dispatcher) {
        return addresses.get(dispatcher);
    }

    /**
     * Returns the time at which a dispatcher first received the present list version; NaN before.
     */
    double answeredAt(int dispatcher) {
        return answeredAt[dispatcher];
    }

    /** Begins an outage, which fails all open calls at once and later ones at their timeout. */
    void beginOutage() {
        isDown = true;
        new ArrayList<>(connections).forEach(DispatcherConnection::fail);
    }

    /** Ends the outage and serves calls again, with a new version of the list. */
    void endOutage() {
        isDown = false;
        version++;
        Arrays.fill(answeredAt, Double.NaN);
    }

    /**
     * Returns the numbers of rejected calls and unread responses as text for assertion messages.
     */
    String countsText() {
        return rejectedCalls + " calls rejected, " + unreadResponses + " responses not read";
    }

    private final class DispatcherConnection extends ServerConnection {
        private final int dispatcher;

        /**
         * Whether a call on this connection has been served since the last failed one, so that the
         * next call is not queued.
         */
        private boolean isWatching;

        private boolean isEnded;
        private long callerVersion;

        /** Number of the last call on this connection; results of earlier calls are discarded. */
        private int lastCall;

        private boolean isCallOpen;

        DispatcherConnection(int dispatcher, EndPoint endPoint) {
            super(endPoint, OverloadedDiscovery.this.loop);
            this.dispatcher = dispatcher;
            connections.add(this);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            int call = ++lastCall;
            isCallOpen = true;
            Optional<DiscoveryWatch> watch = DiscoveryWatch.parse(message.target());
            callerVersion = watch.map(DiscoveryWatch::version).orElse(0L);
            double holdSeconds = watch.map(DiscoveryWatch::holdSeconds).orElse(0.0);
            if (isDown) {
                loop.schedule(capacity.timeoutSeconds, () -> failIfLast(call));
            } else if (isWatching) {
                serve(call, holdSeconds);
            } else if (idleAt - loop.now() > capacity.maxBacklogSeconds) {
                rejectedCalls++;
                fail();
            } else {
                enqueue(call, holdSeconds);
            }
        }

        private void enqueue(int call, double holdSeconds) {
            idleAt = Math.max(idleAt, loop.now()) + 1 / capacity.callsPerSecond;
            double waitSeconds = idleAt - loop.now();
            if (waitSeconds > capacity.timeoutSeconds) {
                loop.schedule(capacity.timeoutSeconds, () -> failIfLast(call));
            } else {
                loop.schedule(waitSeconds, () -> serve(call, holdSeconds));
            }
        }

        /**
         * Responds at once if the caller has an older version, otherwise at the end of the hold
         * time.
         */
        private void serve(int call, double holdSeconds) {
            if (!isCallOpen || call != lastCall) {
                unreadResponses++;
            } else if (callerVersion < version || holdSeconds == 0) {
                respond();
            } else {
                isWatching = true;
                loop.schedule(holdSeconds, () -> respondIfOpen(call));
            }
        }

        private void respondIfOpen(int call) {
            if (isCallOpen && call == lastCall) {
                respond();
            }
        }

        private void respond() {
            isCallOpen = false;
            isWatching = true;
            if (Double.isNaN(answeredAt[dispatcher])) {
                answeredAt[dispatcher] = loop.now();
            }
            String json = DiscoveryJson.list(version, callerVersion == 0, List.of());
            out.send(
                    "HTTP/1.1 200 OK\r\nContent-Length: "
                            + json.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n\r\n"
                            + json);
        }

        private void failIfLast(int call) {
            if (call == lastCall) {
                fail();
            }
        }

        private void fail() {
            if (isCallOpen && !isEnded) {
                isCallOpen = false;
                isWatching = false;
                out.send(UNAVAILABLE);
            }
        }

        @Override
        protected void onClosed() {
            isEnded = true;
            isCallOpen = false;
            connections.remove(this);
        }
    }
}
