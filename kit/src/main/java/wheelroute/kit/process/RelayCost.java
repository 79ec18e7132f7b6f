package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.faults.Relay;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/** What the relays themselves cost: the same short exchanges, straight and through one. */
final class RelayCost {
    /** How long exchanges take, in seconds at the 99th percentile; NaN where not measured. */
    record Cost(double direct, double relayed) {
        static final Cost NONE = new Cost(Double.NaN, Double.NaN);
    }

    /** The first of them meet cold code and are not counted. */
    private static final int COLD = 300;

    private static final int EXCHANGES = 500;
    private static final int SIZE = 400;
    private static final long MOST_NANOS = 10_000_000_000L;
    private static final double NANOS = 1e9;

    private final EventLoop loop;
    private final Consumer<Cost> hearer;
    private final ServerSocketChannel server;
    private final Relay relay;

    private RelayCost(EventLoop loop, Consumer<Cost> listener) throws IOException {
        this.loop = loop;
        this.hearer = listener;
        server =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new EventLoop.ChannelHandler() {
                            @Override
                            public Connection onOpened(EndPoint endPoint) {
                                return new EchoServer(endPoint, loop);
                            }

                            @Override
                            public void onFailed(Throwable cause) {
                                // Then there is nothing to compare.
                            }
                        });
        InetSocketAddress far = Fleet.address(server.socket().getLocalPort());
        relay = new Relay(loop, () -> far, true, () -> 1);
    }

    static void measure(EventLoop loop, Consumer<Cost> listener) throws IOException {
        RelayCost cost = new RelayCost(loop, listener);
        loop.connect(
                Fleet.address(cost.server.socket().getLocalPort()),
                new EchoClient(
                        loop,
                        direct ->
                                loop.connect(
                                        cost.relay.address(),
                                        new EchoClient(
                                                loop, relayed -> cost.end(direct, relayed)))));
    }

    private void end(double direct, double relayed) {
        try {
            loop.closeListener(server);
            relay.close();
        } catch (IOException e) {
            // Two ports stay open for as long as the run.
            return;
        } finally {
            hearer.accept(new Cost(direct, relayed));
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

    /** One exchange after the other on one connection. */
    private static final class EchoClient implements EventLoop.ChannelHandler {
        private final EventLoop loop;
        private final Consumer<Double> done;
        private final Histogram took = new Histogram(MOST_NANOS, 3);
        private long askedAt;
        private int missing;
        private int asked;

        EchoClient(EventLoop loop, Consumer<Double> done) {
            this.loop = loop;
            this.done = done;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            WriteQueue out = new WriteQueue(endPoint, () -> done.accept(Double.NaN));
            StreamConnection link =
                    new StreamConnection(endPoint, loop) {
                        @Override
                        protected void onBytes(ByteBuffer in) {
                            missing -= in.remaining();
                            in.position(in.limit());
                            if (missing > 0) {
                                return;
                            }
                            if (asked > COLD) {
                                took.recordValue(Math.min(MOST_NANOS, System.nanoTime() - askedAt));
                            }
                            if (took.getTotalCount() < EXCHANGES) {
                                ask(out);
                            } else {
                                close();
                                done.accept(took.getValueAtPercentile(99) / NANOS);
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
                    };
            loop.post(() -> ask(out));
            return link;
        }

        private void ask(WriteQueue out) {
            missing = SIZE;
            asked++;
            askedAt = System.nanoTime();
            out.send(ByteBuffer.allocate(SIZE));
        }

        @Override
        public void onFailed(Throwable cause) {
            done.accept(Double.NaN);
        }
    }
}
