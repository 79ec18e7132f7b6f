package wheelroute.kit.peers;

import java.nio.ByteBuffer;
import java.util.function.BiPredicate;
import java.util.function.DoubleSupplier;
import wheelroute.kit.simulation.SimulatedTime;

/**
 * The datagram network of a {@link PeerModel}, which delays, reorders, duplicates, loses and blocks
 * datagrams, and counts those that are sent.
 */
final class PeerNetwork {
    private static final double MIN_DELAY_SECONDS = 0.0005;

    /** Maximum random part of the delay that every datagram has. */
    private static final double JITTER_SECONDS = 0.001;

    private final SimulatedTime time;
    private final DoubleSupplier random;
    private final Receiver receiver;
    private double lossFraction;
    private double duplicationFraction;

    /** Maximum of an additional random delay, by which datagrams overtake each other. */
    private double maxExtraDelaySeconds;

    private BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    private long datagrams;
    private long bytes;
    private int largestDatagram;

    /** Receives the datagrams that arrive. */
    interface Receiver {
        void onDatagram(int from, int to, ByteBuffer datagram);
    }

    /**
     * Creates a network that delivers each datagram once, without extra delay.
     *
     * @param random draws numbers from 0 (inclusive) to 1 (exclusive)
     */
    PeerNetwork(SimulatedTime time, DoubleSupplier random, Receiver receiver) {
        this.time = time;
        this.random = random;
        this.receiver = receiver;
    }

    /** Implements {@link PeerModel#setNetwork}. */
    void configure(
            double newLossFraction, double newDuplicationFraction, double newMaxExtraDelaySeconds) {
        lossFraction = newLossFraction;
        duplicationFraction = newDuplicationFraction;
        maxExtraDelaySeconds = newMaxExtraDelaySeconds;
    }

    /** Sets which pairs of sender and receiver lose all datagrams that are sent from now on. */
    void block(BiPredicate<Integer, Integer> newBlocked) {
        blocked = newBlocked;
    }

    /**
     * Sends a datagram.
     *
     * @param receiverExists whether the receiver's address belongs to a member; a datagram to
     *     another address is counted and dropped
     */
    void send(int from, int to, boolean receiverExists, ByteBuffer datagram) {
        datagrams++;
        bytes += datagram.remaining();
        largestDatagram = Math.max(largestDatagram, datagram.remaining());
        if (!receiverExists || blocked.test(from, to) || random.getAsDouble() < lossFraction) {
            return;
        }
        for (int copies = random.getAsDouble() < duplicationFraction ? 2 : 1;
                copies > 0;
                copies--) {
            ByteBuffer copy = datagram.duplicate();
            double delaySeconds =
                    MIN_DELAY_SECONDS
                            + JITTER_SECONDS * random.getAsDouble()
                            + maxExtraDelaySeconds * random.getAsDouble();
            time.schedule(delaySeconds, () -> receiver.onDatagram(from, to, copy));
        }
    }

    /** Number of datagrams sent since the last reset. */
    long datagrams() {
        return datagrams;
    }

    /** Number of bytes sent since the last reset. */
    long bytes() {
        return bytes;
    }

    /** Size of the largest datagram in bytes; not affected by resets. */
    int largestDatagram() {
        return largestDatagram;
    }

    /** Resets the counters of datagrams and bytes. */
    void resetCounters() {
        datagrams = 0;
        bytes = 0;
    }
}
