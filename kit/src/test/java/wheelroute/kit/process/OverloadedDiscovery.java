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
 * A discovery that serves all dispatchers from one queue with a limited rate of calls. It rejects a
 * call at once if the queue is too long, and fails a call that has waited for its timeout; the work
 * on a call is done whether or not its caller still waits. A watch that continues after a response
 * costs nothing. While it is down, calls are accepted and fail at their timeout. Used on the event
 * loop's thread.
 */
final class OverloadedDiscovery {
    private static final String UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /**
     * What it can serve.
     *
     * @param timeoutSeconds after which a queued call fails
     * @param maxBacklogSeconds of queued work, beyond which a call is rejected
     */
    record Capacity(double callsPerSecond, double timeoutSeconds, double maxBacklogSeconds) {}

    private final EventLoop loop;
    private final Capacity capacity;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Set<DispatcherConnection> connections = new HashSet<>();

    /** When each dispatcher first got the present version; NaN before. */
    private final double[] answeredAt;

    private long version = 1;
    private boolean isDown;

    /** When the calls that are queued now will have been served. */
    private double idleAt;

    private int rejectedCalls;
    private int unreadResponses;

    /** Starts to listen for each dispatcher. */
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
                                // The dispatcher retries.
                            }
                        });
        return Loopback.address(server.socket().getLocalPort());
    }

    InetSocketAddress address(int dispatcher) {
        return addresses.get(dispatcher);
    }

    /** Returns when the dispatcher first got the present version; NaN before. */
    double answeredAt(int dispatcher) {
        return answeredAt[dispatcher];
    }

    /** Ends all calls; later ones fail at their timeout. */
    void goDown() {
        isDown = true;
        new ArrayList<>(connections).forEach(DispatcherConnection::fail);
    }

    /** Serves calls again, with a new version of the list. */
    void comeBack() {
        isDown = false;
        version++;
        Arrays.fill(answeredAt, Double.NaN);
    }

    /** Returns counts for the message of a failed assertion. */
    String counts() {
        return rejectedCalls + " calls rejected, " + unreadResponses + " responses not read";
    }

    private final class DispatcherConnection extends ServerConnection {
        private final int dispatcher;

        /** Whether the dispatcher's place is kept, so that its next call is not queued. */
        private boolean isWatching;

        private boolean isEnded;
        private long versionOfCaller;

        /** The number of the last call; results of earlier ones are out of date. */
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
            versionOfCaller = watch.map(DiscoveryWatch::version).orElse(0L);
            double holdSeconds = watch.map(DiscoveryWatch::holdSeconds).orElse(0.0);
            if (isDown) {
                loop.schedule(capacity.timeoutSeconds, () -> failIfLast(call));
            } else if (isWatching) {
                serve(call, holdSeconds);
            } else if (idleAt - loop.now() > capacity.maxBacklogSeconds) {
                rejectedCalls++;
                fail();
            } else {
                queue(call, holdSeconds);
            }
        }

        private void queue(int call, double holdSeconds) {
            idleAt = Math.max(idleAt, loop.now()) + 1 / capacity.callsPerSecond;
            double waitSeconds = idleAt - loop.now();
            if (waitSeconds > capacity.timeoutSeconds) {
                loop.schedule(capacity.timeoutSeconds, () -> failIfLast(call));
            } else {
                loop.schedule(waitSeconds, () -> serve(call, holdSeconds));
            }
        }

        /** Responds now if there is a newer version, else at the end of the hold. */
        private void serve(int call, double holdSeconds) {
            if (!isCallOpen || call != lastCall) {
                unreadResponses++;
            } else if (versionOfCaller < version || holdSeconds == 0) {
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
            String json = DiscoveryJson.list(version, versionOfCaller == 0, List.of());
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
