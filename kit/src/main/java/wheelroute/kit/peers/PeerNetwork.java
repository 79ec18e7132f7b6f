package wheelroute.kit.peers;

import java.nio.ByteBuffer;
import java.util.function.BiPredicate;
import java.util.function.DoubleSupplier;
import wheelroute.kit.simulation.SimulatedTime;

/**
 * The datagram network of a {@link PeerModel}: delays, reorders, duplicates, loses and blocks
 * datagrams, and counts what is sent.
 */
final class PeerNetwork {
    private static final double MIN_DELAY_SECONDS = 0.0005;

    /** Maximum random part of the delay. */
    private static final double JITTER_SECONDS = 0.001;

    private final SimulatedTime time;
    private final DoubleSupplier random;
    private final Receiver receiver;
    private double loss;
    private double duplication;

    /** Further random delay in seconds, from 0 on, by which datagrams overtake each other. */
    private double spreadSeconds;

    private BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    private long datagrams;
    private long bytes;
    private int largestDatagram;

    /** Receives the datagrams that arrive. */
    interface Receiver {
        void onDatagram(int from, int to, ByteBuffer datagram);
    }

    /**
     * Creates a network that loses nothing.
     *
     * @param random draws from 0 inclusive to 1 exclusive
     */
    PeerNetwork(SimulatedTime time, DoubleSupplier random, Receiver receiver) {
        this.time = time;
        this.random = random;
        this.receiver = receiver;
    }

    /** See {@link PeerModel#setNetwork}. */
    void configure(double newLoss, double newDuplication, double newSpreadSeconds) {
        loss = newLoss;
        duplication = newDuplication;
        spreadSeconds = newSpreadSeconds;
    }

    /** Loses from here on the datagrams for whose sender and receiver this holds. */
    void block(BiPredicate<Integer, Integer> newBlocked) {
        blocked = newBlocked;
    }

    /**
     * Sends a datagram.
     *
     * @param exists whether the receiver's address is a member's; a datagram to none is only
     *     counted
     */
    void send(int from, int to, boolean exists, ByteBuffer datagram) {
        datagrams++;
        bytes += datagram.remaining();
        largestDatagram = Math.max(largestDatagram, datagram.remaining());
        if (!exists || blocked.test(from, to) || random.getAsDouble() < loss) {
            return;
        }
        for (int copies = random.getAsDouble() < duplication ? 2 : 1; copies > 0; copies--) {
            ByteBuffer copy = datagram.duplicate();
            double delaySeconds =
                    MIN_DELAY_SECONDS
                            + JITTER_SECONDS * random.getAsDouble()
                            + spreadSeconds * random.getAsDouble();
            time.schedule(delaySeconds, () -> receiver.onDatagram(from, to, copy));
        }
    }

    /** Datagrams sent since the last reset. */
    long datagrams() {
        return datagrams;
    }

    /** Bytes sent since the last reset. */
    long bytes() {
        return bytes;
    }

    /** Size of the largest datagram of the whole run in bytes. */
    int largestDatagram() {
        return largestDatagram;
    }

    /** Resets the counters of datagrams and bytes. */
    void resetCounters() {
        datagrams = 0;
        bytes = 0;
    }
}
