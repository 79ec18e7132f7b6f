package wheelroute.kit.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * One way between two processes, led through this one: a socket that stands for the far end. What
 * it lets through is set from outside. Loopback cannot leave a handshake unanswered: on a way that
 * is cut a connection still comes up here, and stays as silent as the way. What a sender had under
 * way when it closed the connection is lost with it while the way is cut; a real network's kernel
 * may send it again after that.
 */
public final class Relay implements EventLoop.ChannelHandler {
    /**
     * Bytes held for one direction before the sender has to wait, as a socket's buffers would make
     * it.
     */
    private static final int MAX_BUFFERED = 1 << 20;

    /** A port that was ours a moment ago is free again soon. */
    private static final double RELISTEN_DELAY = 0.05;

    private static final Logger LOG = LoggerFactory.getLogger(Relay.class);

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> target;
    private final boolean dispatcherIsNear;
    private final DoubleSupplier random;
    private IntConsumer nearCloseListener = port -> {};
    private final Set<RelayedConnection> connections = new HashSet<>();
    private final InetSocketAddress address;
    private ServerSocketChannel server;
    private LinkState state = LinkState.OPEN;

    /**
     * The target is asked for anew at each connection: a process may come back elsewhere.
     *
     * @param dispatcherIsNear it is the dispatcher that connects; else it is connected to
     * @param chance draws from 0 to 1, for what is lost and what comes late
     */
    public Relay(
            EventLoop loop,
            Supplier<InetSocketAddress> target,
            boolean dispatcherIsNear,
            DoubleSupplier chance)
            throws IOException {
        this.loop = loop;
        this.target = target;
        this.dispatcherIsNear = dispatcherIsNear;
        this.random = chance;
        server = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this);
        address = (InetSocketAddress) server.getLocalAddress();
    }

    /** Where the far end is reached, through us. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Hears at once that who connected has closed, however long the far end will not know of it:
     * with the port by which the far end knows the connection.
     */
    public void onNearClosed(IntConsumer hearer) {
        nearCloseListener = hearer;
    }

    /** From the loop's thread only. */
    public void apply(LinkState now) {
        state = now;
        if (now.refuses()) {
            unlisten();
            new HashSet<>(connections).forEach(RelayedConnection::reset);
        } else {
            listen();
            new HashSet<>(connections)
                    .forEach(
                            pair -> {
                                pair.outbound.flush();
                                pair.inbound.flush();
                            });
        }
    }

    /** For good. */
    public void close() {
        unlisten();
        new HashSet<>(connections).forEach(RelayedConnection::reset);
    }

    private void listen() {
        try {
            if (server == null) {
                server = loop.listen(address, this);
            }
        } catch (IOException e) {
            loop.schedule(
                    RELISTEN_DELAY,
                    () -> {
                        if (!state.refuses()) {
                            listen();
                        }
                    });
        }
    }

    private void unlisten() {
        try {
            if (server != null) {
                loop.closeListener(server);
                server = null;
            }
        } catch (IOException e) {
            LOG.warn("a relay did not stop listening: {}", e.toString());
        }
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        RelayedConnection pair = new RelayedConnection(endPoint);
        connections.add(pair);
        return pair.near;
    }

    @Override
    public void onFailed(Throwable cause) {
        LOG.warn("a relay could not accept: {}", cause.toString());
    }

    /** A connection from whoever connects, and ours to the far end in its place. */
    private final class RelayedConnection implements EventLoop.ChannelHandler {
        final Side near;
        final Direction outbound = new Direction(true);
        final Direction inbound = new Direction(false);
        private Side far;
        private boolean closed;
        private boolean nearIsClosed;

        RelayedConnection(EndPoint endPoint) {
            near = new Side(endPoint, this, outbound);
            inbound.receiver = near;
            loop.post(() -> loop.connect(target.get(), this));
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            far = new Side(endPoint, this, inbound);
            loop.post(
                    () -> {
                        if (closed) {
                            far.close();
                        } else {
                            outbound.receiver = far;
                            outbound.flush();
                        }
                    });
            return far;
        }

        /** Nobody is there: who connects finds out as it would without us, if a moment later. */
        @Override
        public void onFailed(Throwable cause) {
            reset();
        }

        void notifyNearClosed() {
            if (!nearIsClosed
                    && far != null
                    && far.getEndPoint().getLocalSocketAddress()
                            instanceof InetSocketAddress local) {
                nearIsClosed = true;
                nearCloseListener.accept(local.getPort());
            }
        }

        void reset() {
            if (!closed) {
                closed = true;
                connections.remove(this);
                near.reset();
                if (far != null) {
                    far.reset();
                }
            }
        }

        void closeIfComplete() {
            if (!closed && outbound.isComplete() && inbound.isComplete()) {
                closed = true;
                connections.remove(this);
                near.close();
                far.close();
            }
        }
    }

    /** One direction: what has come and is not yet out, in its order. */
    private final class Direction {
        private final boolean fromNear;
        private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
        private Side receiver;
        private int bufferedBytes;
        private boolean writing;
        private boolean endReceived;
        private boolean endForwarded;
        private EventLoop.Timer timer;

        /** When the last piece is due: nothing overtakes it. */
        private double lastDueAt = Double.NEGATIVE_INFINITY;

        Direction(boolean fromNear) {
            this.fromNear = fromNear;
        }

        boolean isFull() {
            return bufferedBytes > MAX_BUFFERED;
        }

        boolean isComplete() {
            return endForwarded;
        }

        private boolean isOpen() {
            return fromNear == dispatcherIsNear ? state.outbound() : state.inbound();
        }

        void add(ByteBuffer in, Side from) {
            ByteBuffer copy = ByteBuffer.allocate(in.remaining());
            copy.put(in).flip();
            bufferedBytes += copy.remaining();
            queue.addLast(new Chunk(copy, dueAt(copy.remaining()), from));
            flush();
        }

        private double dueAt(int size) {
            lastDueAt =
                    Math.max(lastDueAt, loop.now() + state.extraDelay(random))
                            + size / state.rate();
            return lastDueAt;
        }

        void end(Side from) {
            endReceived = true;
            if (!isOpen()) {
                queue.forEach(piece -> bufferedBytes -= piece.size);
                queue.clear();
            }
            queue.addLast(new Chunk(ByteBuffer.allocate(0), dueAt(0), from));
            flush();
        }

        void flush() {
            if (writing || !isOpen() || receiver == null || queue.isEmpty()) {
                return;
            }
            Chunk first = queue.peekFirst();
            double wait = first.dueAt - loop.now();
            if (wait > 0) {
                if (timer == null) {
                    timer =
                            loop.schedule(
                                    wait,
                                    () -> {
                                        timer = null;
                                        flush();
                                    });
                }
                return;
            }
            queue.pollFirst();
            if (endReceived && queue.isEmpty()) {
                endForwarded = true;
                receiver.getEndPoint().shutdownOutput();
                first.from.connection.closeIfComplete();
                return;
            }
            writing = true;
            receiver.getEndPoint()
                    .write(
                            Callback.from(
                                    () ->
                                            loop.post(
                                                    () -> {
                                                        writing = false;
                                                        bufferedBytes -= first.size;
                                                        first.from.resume();
                                                        flush();
                                                    }),
                                    cause -> loop.post(first.from.connection::reset)),
                            first.buffer);
        }
    }

    /** Bytes that came together. */
    private static final class Chunk {
        final ByteBuffer buffer;
        final int size;
        final double dueAt;
        final Side from;

        Chunk(ByteBuffer buffer, double due, Side from) {
            this.buffer = buffer;
            this.size = buffer.remaining();
            this.dueAt = due;
            this.from = from;
        }
    }

    /** One end of a pair. */
    private final class Side extends StreamConnection {
        private final RelayedConnection connection;
        private final Direction out;
        private boolean isBlocked;

        Side(EndPoint endPoint, RelayedConnection pair, Direction out) {
            super(endPoint, Relay.this.loop);
            this.connection = pair;
            this.out = out;
        }

        @Override
        protected boolean canRead() {
            isBlocked = out.isFull();
            return !isBlocked;
        }

        void resume() {
            if (isBlocked && !out.isFull() && getEndPoint().isOpen()) {
                isBlocked = false;
                onFillable();
            }
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            out.add(in, this);
        }

        @Override
        protected void onEndOfStream() {
            if (this == connection.near) {
                connection.notifyNearClosed();
            }
            out.end(this);
        }

        @Override
        protected void onFailure(Throwable cause) {
            if (this == connection.near) {
                connection.notifyNearClosed();
            }
            connection.reset();
        }

        /** So that the other side sees a reset, not an end. */
        void reset() {
            try {
                if (getEndPoint().getTransport() instanceof SocketChannel channel
                        && channel.isOpen()) {
                    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
            } catch (IOException e) {
                LOG.debug("a connection that is gone already", e);
            }
            close();
        }
    }
}
