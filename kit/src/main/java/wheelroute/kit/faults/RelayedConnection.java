package wheelroute.kit.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/** A connection that a relay has accepted, paired with the relay's connection to the target. */
final class RelayedConnection implements EventLoop.ChannelHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RelayedConnection.class);

    private final Relay relay;
    private final RelayDirection fromNear;
    private final RelayDirection fromFar;
    private final EndConnection near;

    /** Connection to the target; null until the target has accepted. */
    private EndConnection far;

    private boolean isEnded;
    private boolean isNearCloseNotified;

    /** Starts to connect to the target. */
    RelayedConnection(Relay relay, EndPoint nearEndPoint) {
        this.relay = relay;
        fromNear = new RelayDirection(relay, true);
        fromFar = new RelayDirection(relay, false);
        near = new EndConnection(nearEndPoint, fromNear);
        fromFar.setReceiver(near);
        EventLoop loop = relay.loop();
        loop.post(() -> loop.connect(relay.target(), this));
    }

    Connection near() {
        return near;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        far = new EndConnection(endPoint, fromFar);
        relay.loop()
                .post(
                        () -> {
                            if (isEnded) {
                                far.close();
                            } else {
                                fromNear.setReceiver(far);
                                fromNear.forward();
                            }
                        });
        return far;
    }

    /**
     * Resets the near end's connection because the target does not listen. The near end sees the
     * error slightly later than without a relay.
     */
    @Override
    public void onFailed(Throwable cause) {
        reset();
    }

    /** Forwards the buffered bytes that the link's state now allows, in both directions. */
    void forward() {
        fromNear.forward();
        fromFar.forward();
    }

    private void notifyNearClosed() {
        if (!isNearCloseNotified
                && far != null
                && far.getEndPoint().getLocalSocketAddress() instanceof InetSocketAddress local) {
            isNearCloseNotified = true;
            relay.notifyNearClosed(local.getPort());
        }
    }

    /** Resets both connections. */
    void reset() {
        if (!isEnded) {
            isEnded = true;
            relay.onConnectionEnded(this);
            near.reset();
            if (far != null) {
                far.reset();
            }
        }
    }

    /** Closes both connections if both directions have forwarded their end of stream. */
    void closeIfComplete() {
        if (!isEnded && fromNear.isComplete() && fromFar.isComplete()) {
            isEnded = true;
            relay.onConnectionEnded(this);
            near.close();
            far.close();
        }
    }

    /** The relay's connection to one of the two ends. */
    final class EndConnection extends StreamConnection {
        /** Direction that buffers the bytes that this end sends. */
        private final RelayDirection direction;

        private boolean isReadingSuspended;

        EndConnection(EndPoint endPoint, RelayDirection direction) {
            super(endPoint, relay.loop());
            this.direction = direction;
        }

        RelayedConnection connection() {
            return RelayedConnection.this;
        }

        @Override
        protected boolean canRead() {
            isReadingSuspended = direction.isFull();
            return !isReadingSuspended;
        }

        /** Resumes suspended reading if the direction has buffer space again. */
        void resumeSuspendedReading() {
            if (isReadingSuspended && !direction.isFull() && getEndPoint().isOpen()) {
                isReadingSuspended = false;
                onFillable();
            }
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            direction.add(in, this);
        }

        @Override
        protected void onEndOfStream() {
            if (this == near) {
                notifyNearClosed();
            }
            direction.end(this);
        }

        @Override
        protected void onFailure(Throwable cause) {
            if (this == near) {
                notifyNearClosed();
            }
            RelayedConnection.this.reset();
        }

        /** Closes the connection so that the peer sees a reset instead of an end of stream. */
        void reset() {
            try {
                if (getEndPoint().getTransport() instanceof SocketChannel channel
                        && channel.isOpen()) {
                    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
            } catch (IOException e) {
                LOG.debug("SO_LINGER not set, the connection is already closed", e);
            }
            close();
        }
    }
}
