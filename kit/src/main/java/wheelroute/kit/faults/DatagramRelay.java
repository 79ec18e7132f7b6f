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
 * One way for datagrams from one process to another: what comes here goes on to the far end, from
 * the address of the way that leads back, so that whoever answers answers by that. Two of them make
 * a pair of ways.
 */
public final class DatagramRelay {
    /** More than any datagram of the program's. */
    private static final int SIZE = 2048;

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> target;
    private final DoubleSupplier random;
    private final DatagramSocket socket;
    private DatagramRelay back;
    private long received;
    private LinkState sender = LinkState.OPEN;
    private LinkState receiver = LinkState.OPEN;

    /**
     * Where the target is may change: a process may come back elsewhere, and null is nowhere.
     *
     * @param chance draws from 0 to 1, for what is lost, late or doubled
     */
    public DatagramRelay(EventLoop loop, Supplier<InetSocketAddress> target, DoubleSupplier chance)
            throws IOException {
        this.loop = loop;
        this.target = target;
        this.random = chance;
        socket =
                new DatagramSocket(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        SIZE,
                        (from, bytes) -> onDatagram(bytes));
    }

    /** The direction that leads back. */
    public void pairWith(DatagramRelay other) {
        back = other;
    }

    /** Where to send for the far end, through us. */
    public InetSocketAddress address() {
        return socket.address();
    }

    /**
     * From the loop's thread only.
     *
     * @param ofSender the way of who sends here: this is its way forth
     * @param ofReceiver the way of who is sent to: this is its way back
     */
    public void apply(LinkState ofSender, LinkState ofReceiver) {
        sender = ofSender;
        receiver = ofReceiver;
    }

    private boolean isIn(double part) {
        return part > 0 && random.getAsDouble() < part;
    }

    /** How many have come here, whatever became of them. */
    public long received() {
        return received;
    }

    private void onDatagram(ByteBuffer bytes) {
        received++;
        if (!sender.outbound()
                || !receiver.inbound()
                || isIn(sender.loss())
                || isIn(receiver.loss())) {
            return;
        }
        int copies = isIn(sender.duplication()) || isIn(receiver.duplication()) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            double spread = sender.jitter() + receiver.jitter();
            double later =
                    sender.delay()
                            + receiver.delay()
                            + (spread > 0 ? spread * random.getAsDouble() : 0);
            if (later > 0) {
                // Each by itself: one that is sent later may come sooner.
                loop.schedule(later, () -> forward(copy));
            } else {
                forward(copy);
            }
        }
    }

    private void forward(byte[] bytes) {
        InetSocketAddress to = target.get();
        if (to != null && back != null) {
            back.socket.send(to, ByteBuffer.wrap(bytes));
        }
    }

    /** Closes the relay's sockets; what it holds back is dropped. */
    public void close() {
        socket.close();
    }
}
