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
 * A relay of datagrams in one direction that applies a {@link LinkState}. Two relays make a pair:
 * each sends from the address of the other, so that replies take the opposite direction. Used on
 * the event loop's thread.
 */
public final class DatagramRelay {
    /** More than any datagram of the daemon. */
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
     * @param target obtained anew at each datagram, because a process may move to another port;
     *     null while it is not running
     * @param random draws from 0 to 1, for losses, jitter and duplicates
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

    /** Sets the relay of the opposite direction; nothing is forwarded before. */
    public void pairWith(DatagramRelay oppositeRelay) {
        reverse = oppositeRelay;
    }

    /** Returns where the sender sends to. */
    public InetSocketAddress address() {
        return socket.address();
    }

    /**
     * Applies the states of both links that a datagram takes.
     *
     * @param ofSender whose outbound direction it is
     * @param ofReceiver whose inbound direction it is
     */
    public void apply(LinkState ofSender, LinkState ofReceiver) {
        senderLink = ofSender;
        receiverLink = ofReceiver;
    }

    /** Returns how many datagrams have arrived here, including those that were lost. */
    public long received() {
        return received;
    }

    private void onDatagram(ByteBuffer bytes) {
        received++;
        if (isLost()) {
            return;
        }
        int copies =
                drawWithin(senderLink.duplicationFraction())
                                || drawWithin(receiverLink.duplicationFraction())
                        ? 2
                        : 1;
        for (int i = 0; i < copies; i++) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            double delaySeconds = drawDelaySeconds();
            if (delaySeconds > 0) {
                // Each by itself, so that a later datagram may overtake it.
                loop.schedule(delaySeconds, () -> forward(copy));
            } else {
                forward(copy);
            }
        }
    }

    private boolean isLost() {
        return !senderLink.outbound()
                || !receiverLink.inbound()
                || drawWithin(senderLink.lossFraction())
                || drawWithin(receiverLink.lossFraction());
    }

    private boolean drawWithin(double probability) {
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
