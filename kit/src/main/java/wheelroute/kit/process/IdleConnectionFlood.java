package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * Opens connections to dispatchers on which it sends nothing or only a part of a request, and
 * closes them after a fixed time. Used on the event loop's thread.
 */
final class IdleConnectionFlood {
    /** Time until a connection is closed; longer than the daemon waits for a request. */
    private static final double CONNECTION_LIFETIME_SECONDS = 4;

    /**
     * Smallest rate that is not treated as 0; a lower one is a rounding error left by rates that
     * were added and removed.
     */
    private static final double MIN_CONNECTIONS_PER_SECOND = 1e-9;

    /**
     * What successive connections send, in rotation: nothing, a part of the head, the head with a
     * part of the body.
     */
    private static final String[] PARTIAL_REQUESTS = {
        "",
        "POST /statement HTTP/1.1\r\nHost: x\r\nX-Req",
        "POST /statement HTTP/1.1\r\nHost: x\r\nX-Request-ID: none\r\nX-Timeout: 2\r\nContent-Length: 99\r\n"
                + "\r\nhalf"
    };

    private final EventLoop loop;
    private final IntFunction<InetSocketAddress> addresses;
    private final Map<Integer, Double> connectionsPerSecond = new HashMap<>();
    private long connectionCount;

    /**
     * Creates a flood whose rate is 0 for all dispatchers.
     *
     * @param addresses address of each dispatcher for clients, by dispatcher number; null while the
     *     dispatcher does not listen
     */
    IdleConnectionFlood(EventLoop loop, IntFunction<InetSocketAddress> addresses) {
        this.loop = loop;
        this.addresses = addresses;
    }

    /**
     * Changes the rate of connections to a dispatcher.
     *
     * @param additionalPerSecond added to the present rate; negative to lower the rate
     */
    void changeRate(int dispatcher, double additionalPerSecond) {
        boolean isRunning = connectionsPerSecond.getOrDefault(dispatcher, 0.0) > 0;
        connectionsPerSecond.merge(dispatcher, additionalPerSecond, Double::sum);
        if (!isRunning && connectionsPerSecond.get(dispatcher) > 0) {
            connectNext(dispatcher);
        }
    }

    private void connectNext(int dispatcher) {
        double rate = connectionsPerSecond.get(dispatcher);
        if (rate < MIN_CONNECTIONS_PER_SECOND) {
            connectionsPerSecond.put(dispatcher, 0.0);
            return;
        }
        InetSocketAddress address = addresses.apply(dispatcher);
        if (address != null) {
            int next = (int) (connectionCount++ % PARTIAL_REQUESTS.length);
            loop.connect(address, new Connector(PARTIAL_REQUESTS[next]));
        }
        loop.schedule(1 / rate, () -> connectNext(dispatcher));
    }

    private final class Connector implements EventLoop.ChannelHandler {
        private final String partialRequest;

        Connector(String partialRequest) {
            this.partialRequest = partialRequest;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            return new IdleConnection(endPoint, partialRequest);
        }

        @Override
        public void onFailed(Throwable cause) {
            // Rejections are expected, because the flood tests that dispatchers reject such
            // connections.
        }
    }

    private final class IdleConnection extends StreamConnection {
        private final String partialRequest;

        IdleConnection(EndPoint endPoint, String partialRequest) {
            super(endPoint, IdleConnectionFlood.this.loop);
            this.partialRequest = partialRequest;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            loop.schedule(CONNECTION_LIFETIME_SECONDS, this::close);
            if (!partialRequest.isEmpty()) {
                new WriteQueue(getEndPoint(), this::close)
                        .send(ByteBuffer.wrap(partialRequest.getBytes(StandardCharsets.US_ASCII)));
            }
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            in.position(in.limit());
        }

        @Override
        protected void onEndOfStream() {
            close();
        }

        @Override
        protected void onFailure(Throwable cause) {
            close();
        }
    }
}
