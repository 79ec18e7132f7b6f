package wheelroute.kit.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import wheelroute.net.loop.DatagramSocket;
import wheelroute.net.loop.EventLoop;

/**
 * Relays datagrams in one direction and applies a {@link LinkState}. Two relays form a pair: each
 * sends from the address of the other, so that replies take the opposite direction. Used on the
 * event loop's thread.
 */
public final class DatagramRelay {
    /** Size of the receive buffer, which is larger than any datagram of the daemon. */
    private static final int MAX_DATAGRAM_BYTES = 2048;

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> target;
    private final DoubleSupplier random;
    private final DatagramSocket socket;
    private DatagramRelay reverse;
    private long received;
    private LinkState senderLink = LinkState.OPEN;
    private LinkState receiverLink = LinkState.OPEN;

    /**
     * Starts to receive.
     *
     * @param target address of the receiver, looked up for each datagram, because a process may
     *     move to another port; null while the process is not running
     * @param random draws numbers from 0 to 1, for losses, jitter and duplicates
     */
    public DatagramRelay(EventLoop loop, Supplier<InetSocketAddress> target, DoubleSupplier random)
            throws IOException {
        this.loop = loop;
        this.target = target;
        this.random = random;
        socket =
                new DatagramSocket(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        MAX_DATAGRAM_BYTES,
                        (from, bytes) -> onDatagram(bytes));
    }

    /** Sets the relay of the opposite direction; datagrams are dropped until then. */
    public void pairWith(DatagramRelay oppositeRelay) {
        reverse = oppositeRelay;
    }

    /** Returns the address to which the sender sends its datagrams. */
    public InetSocketAddress address() {
        return socket.address();
    }

    /**
     * Applies the states of both links that a datagram passes through.
     *
     * @param senderState state of the sender's link, which datagrams pass outbound
     * @param receiverState state of the receiver's link, which datagrams pass inbound
     */
    public void apply(LinkState senderState, LinkState receiverState) {
        senderLink = senderState;
        receiverLink = receiverState;
    }

    /** Returns how many datagrams this relay has received, including those that it dropped. */
    public long received() {
        return received;
    }

    private void onDatagram(ByteBuffer bytes) {
        received++;
        if (isLost()) {
            return;
        }
        int copies =
                drawBoolean(senderLink.duplicationFraction())
                                || drawBoolean(receiverLink.duplicationFraction())
                        ? 2
                        : 1;
        for (int i = 0; i < copies; i++) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            double delaySeconds = drawDelaySeconds();
            if (delaySeconds > 0) {
                // Each copy has a timer of its own, so that a later datagram can overtake it.
                loop.schedule(delaySeconds, () -> forward(copy));
            } else {
                forward(copy);
            }
        }
    }

    private boolean isLost() {
        return !senderLink.outbound()
                || !receiverLink.inbound()
                || drawBoolean(senderLink.lossFraction())
                || drawBoolean(receiverLink.lossFraction());
    }

    private boolean drawBoolean(double probability) {
        return probability > 0 && random.getAsDouble() < probability;
    }

    private double drawDelaySeconds() {
        double jitterSeconds = senderLink.jitterSeconds() + receiverLink.jitterSeconds();
        return senderLink.delaySeconds()
                + receiverLink.delaySeconds()
                + (jitterSeconds > 0 ? jitterSeconds * random.getAsDouble() : 0);
    }

    private void forward(byte[] bytes) {
        InetSocketAddress to = target.get();
        if (to != null && reverse != null) {
            reverse.socket.send(to, ByteBuffer.wrap(bytes));
        }
    }

    /** Closes the socket. */
    public void close() {
        socket.close();
    }
}
