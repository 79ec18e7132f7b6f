package wheelroute.kit.faults;

import java.util.function.DoubleSupplier;

/**
 * State of a link between a dispatcher and another process: which bytes arrive, and how late.
 *
 * @param refuses whether open connections are reset and new ones are refused
 * @param outbound whether bytes from the dispatcher arrive
 * @param inbound whether bytes to the dispatcher arrive
 * @param delaySeconds fixed delay of all bytes
 * @param jitterSeconds maximum random delay in addition to the fixed delay
 * @param lossFraction fraction of messages that are lost, from 0 to 1
 * @param bytesPerSecond bandwidth in each direction; infinite if unlimited
 * @param duplicationFraction fraction of datagrams that arrive twice, from 0 to 1
 */
public record LinkState(
        boolean refuses,
        boolean outbound,
        boolean inbound,
        double delaySeconds,
        double jitterSeconds,
        double lossFraction,
        double bytesPerSecond,
        double duplicationFraction) {
    /** State of a link without faults. */
    public static final LinkState OPEN =
            new LinkState(false, true, true, 0, 0, 0, Double.POSITIVE_INFINITY, 0);

    /** Delay before a lost message is retransmitted; the delay doubles with each further loss. */
    public static final double RETRANSMIT_DELAY_SECONDS = 0.2;

    /** Maximum number of losses of the same message; the next copy always arrives. */
    private static final int MAX_RETRANSMITS = 3;

    /**
     * Draws by how many seconds a message of a stream arrives later than on a link without faults.
     *
     * @param random draws numbers from 0 to 1, for jitter and losses
     */
    public double drawExtraDelaySeconds(DoubleSupplier random) {
        double extraSeconds =
                delaySeconds + (jitterSeconds > 0 ? jitterSeconds * random.getAsDouble() : 0);
        for (int i = 0;
                lossFraction > 0 && i < MAX_RETRANSMITS && random.getAsDouble() < lossFraction;
                i++) {
            extraSeconds += RETRANSMIT_DELAY_SECONDS * (1 << i);
        }
        return extraSeconds;
    }

    /**
     * Returns an upper bound for the delay of a message of the given size: the maximum of {@link
     * #drawExtraDelaySeconds} plus the transmission time at the link's bandwidth.
     */
    public double maxExtraDelaySeconds(int messageBytes) {
        double retransmitSeconds =
                lossFraction > 0 ? RETRANSMIT_DELAY_SECONDS * ((1 << MAX_RETRANSMITS) - 1) : 0;
        return delaySeconds + jitterSeconds + retransmitSeconds + messageBytes / bytesPerSecond;
    }
}
