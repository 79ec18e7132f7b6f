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
 * Strangers at the clients' addresses: they connect, say nothing or half a message, stay, and go.
 */
final class IdleConnectionFlood {
    /** Longer than the program has patience for. */
    private static final double CONNECTION_LIFETIME = 4;

    /** In turn: nothing, half a head, a head with half a body. */
    private static final String[] PARTIAL_REQUESTS = {
        "",
        "POST /statement HTTP/1.1\r\nHost: x\r\nX-Req",
        "POST /statement HTTP/1.1\r\nHost: x\r\nX-Request-ID: none\r\nX-Timeout: 2\r\nContent-Length: 99\r\n"
                + "\r\nhalf"
    };

    private final EventLoop loop;
    private final IntFunction<InetSocketAddress> addresses;
    private final Map<Integer, Double> rates = new HashMap<>();
    private long connectionCount;

    /** An address of null is nobody's just now. */
    IdleConnectionFlood(EventLoop loop, IntFunction<InetSocketAddress> addresses) {
        this.loop = loop;
        this.addresses = addresses;
    }

    /** So many more a second, or fewer. */
    void changeRate(int dispatcher, double rate) {
        boolean comes = rates.getOrDefault(dispatcher, 0.0) > 0;
        rates.merge(dispatcher, rate, Double::sum);
        if (!comes && rates.get(dispatcher) > 0) {
            connectNext(dispatcher);
        }
    }

    private void connectNext(int dispatcher) {
        // Sums of what came and went again leave a rest that is no rate.
        double rate = rates.get(dispatcher);
        if (rate < 1e-9) {
            rates.put(dispatcher, 0.0);
            return;
        }
        InetSocketAddress address = addresses.apply(dispatcher);
        if (address != null) {
            String says = PARTIAL_REQUESTS[(int) (connectionCount++ % PARTIAL_REQUESTS.length)];
            loop.connect(
                    address,
                    new EventLoop.ChannelHandler() {
                        @Override
                        public Connection onOpened(EndPoint endPoint) {
                            return new IdleConnection(endPoint, says);
                        }

                        @Override
                        public void onFailed(Throwable cause) {
                            // Turned away at the door: what it is there to try.
                        }
                    });
        }
        loop.schedule(1 / rate, () -> connectNext(dispatcher));
    }

    private final class IdleConnection extends StreamConnection {
        private final String partialRequest;

        IdleConnection(EndPoint endPoint, String says) {
            super(endPoint, IdleConnectionFlood.this.loop);
            this.partialRequest = says;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            loop.schedule(CONNECTION_LIFETIME, this::close);
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
