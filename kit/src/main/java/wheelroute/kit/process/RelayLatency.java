package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.faults.Relay;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * Measures the latency that a relay adds, by the round trip times of the same short exchanges
 * without and with a relay. Used on the event loop's thread.
 */
final class RelayLatency {
    /** Round trip times in seconds at the 99th percentile; NaN if not measured. */
    record RoundTrips(double directSeconds, double relayedSeconds) {
        static final RoundTrips NOT_MEASURED = new RoundTrips(Double.NaN, Double.NaN);
    }

    /**
     * Number of first exchanges that are not counted, because the JIT compiler has not compiled the
     * code yet.
     */
    private static final int WARM_UP_EXCHANGES = 300;

    private static final int EXCHANGES = 500;
    private static final int MESSAGE_BYTES = 400;
    private static final long MAX_NANOS = 10_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private final EventLoop loop;
    private final Consumer<RoundTrips> listener;
    private final ServerSocketChannel server;
    private final Relay relay;

    private RelayLatency(EventLoop loop, Consumer<RoundTrips> listener) throws IOException {
        this.loop = loop;
        this.listener = listener;
        server = loop.listen(Loopback.anyPort(), new EchoAcceptor(loop));
        InetSocketAddress target = serverAddress();
        relay = new Relay(loop, () -> target, true, () -> 1);
    }

    private InetSocketAddress serverAddress() {
        return Loopback.address(server.socket().getLocalPort());
    }

    /**
     * Starts a measurement.
     *
     * @param listener receives the result on the event loop's thread
     */
    static void measure(EventLoop loop, Consumer<RoundTrips> listener) throws IOException {
        RelayLatency measurement = new RelayLatency(loop, listener);
        measurement.measureRoundTrips(
                measurement.serverAddress(),
                direct ->
                        measurement.measureRoundTrips(
                                measurement.relay.address(),
                                relayed -> measurement.finish(direct, relayed)));
    }

    private void measureRoundTrips(InetSocketAddress address, DoubleConsumer onMeasured) {
        loop.connect(address, new EchoClient(loop, onMeasured));
    }

    private void finish(double directSeconds, double relayedSeconds) {
        try {
            loop.closeListener(server);
            relay.close();
        } catch (IOException e) {
            // The two ports remain open until the run ends.
            return;
        } finally {
            listener.accept(new RoundTrips(directSeconds, relayedSeconds));
        }
    }

    private static final class EchoAcceptor implements EventLoop.ChannelHandler {
        private final EventLoop loop;

        EchoAcceptor(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            return new EchoServer(endPoint, loop);
        }

        @Override
        public void onFailed(Throwable cause) {
            // The client notices the failure and reports it.
        }
    }

    private static final class EchoServer extends StreamConnection {
        private final WriteQueue out;

        EchoServer(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
            out = new WriteQueue(endPoint, this::close);
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            ByteBuffer copy = ByteBuffer.allocate(in.remaining());
            copy.put(in).flip();
            out.send(copy);
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

    /** Opens an {@link EchoConnection}; a failure to connect counts as not measured. */
    private record EchoClient(EventLoop loop, DoubleConsumer onMeasured)
            implements EventLoop.ChannelHandler {
        @Override
        public Connection onOpened(EndPoint endPoint) {
            EchoConnection connection = new EchoConnection(endPoint, loop, onMeasured);
            loop.post(connection::sendMessage);
            return connection;
        }

        @Override
        public void onFailed(Throwable cause) {
            onMeasured.accept(Double.NaN);
        }
    }

    /**
     * Client side of the exchanges, which sends the next message when the echo of the last one is
     * complete.
     */
    private static final class EchoConnection extends StreamConnection {
        private final DoubleConsumer onMeasured;
        private final WriteQueue out;
        private final Histogram roundTripNanos = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
        private long sentNanos;
        private int missingBytes;
        private int sentMessages;

        EchoConnection(EndPoint endPoint, EventLoop loop, DoubleConsumer onMeasured) {
            super(endPoint, loop);
            this.onMeasured = onMeasured;
            out = new WriteQueue(endPoint, () -> onMeasured.accept(Double.NaN));
        }

        void sendMessage() {
            missingBytes = MESSAGE_BYTES;
            sentMessages++;
            sentNanos = System.nanoTime();
            out.send(ByteBuffer.allocate(MESSAGE_BYTES));
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            missingBytes -= in.remaining();
            in.position(in.limit());
            if (missingBytes > 0) {
                return;
            }
            if (sentMessages > WARM_UP_EXCHANGES) {
                roundTripNanos.recordValue(Math.min(MAX_NANOS, System.nanoTime() - sentNanos));
            }
            if (roundTripNanos.getTotalCount() < EXCHANGES) {
                sendMessage();
            } else {
                close();
                onMeasured.accept(roundTripNanos.getValueAtPercentile(99) / NANOS_PER_SECOND);
            }
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
