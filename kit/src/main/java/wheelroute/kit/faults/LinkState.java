package wheelroute.kit.faults;

import java.util.function.DoubleSupplier;

/**
 * What a link between a dispatcher and another process carries.
 *
 * @param refuses whether connections are reset and new ones refused
 * @param outbound whether bytes from the dispatcher arrive
 * @param inbound whether bytes to the dispatcher arrive
 * @param delay of all bytes, in seconds
 * @param jitter the most that is added to the delay at random, in seconds
 * @param loss fraction of the messages that are lost
 * @param rate bytes per second in each direction; infinite for no limit
 * @param duplication fraction of the datagrams that arrive twice
 */
public record LinkState(
        boolean refuses,
        boolean outbound,
        boolean inbound,
        double delay,
        double jitter,
        double loss,
        double rate,
        double duplication) {
    /** A link without faults. */
    public static final LinkState OPEN =
            new LinkState(false, true, true, 0, 0, 0, Double.POSITIVE_INFINITY, 0);

    /** Until a sender detects the first loss of a message; it doubles with each further loss. */
    public static final double RETRANSMIT_DELAY_SECONDS = 0.2;

    /** After so many losses of the same message it arrives. */
    private static final int MAX_RETRANSMITS = 3;

    /**
     * Returns by how many seconds a message of a stream arrives later than on a link without
     * faults.
     *
     * @param random draws from 0 to 1
     */
    public double extraDelay(DoubleSupplier random) {
        double later = delay + (jitter > 0 ? jitter * random.getAsDouble() : 0);
        for (int i = 0; loss > 0 && i < MAX_RETRANSMITS && random.getAsDouble() < loss; i++) {
            later += RETRANSMIT_DELAY_SECONDS * (1 << i);
        }
        return later;
    }

    /** Returns the most seconds by which a message of this size, in bytes, arrives later. */
    public double maxDelay(int size) {
        double retransmits = loss > 0 ? RETRANSMIT_DELAY_SECONDS * ((1 << MAX_RETRANSMITS) - 1) : 0;
        return delay + jitter + retransmits + size / rate;
    }
}
