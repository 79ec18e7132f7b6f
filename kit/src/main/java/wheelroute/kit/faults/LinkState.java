package wheelroute.kit.faults;

import java.util.function.DoubleSupplier;

/**
 * What a link between a dispatcher and another process carries.
 *
 * @param refuses whether connections are reset and new ones refused
 * @param outbound whether bytes from the dispatcher arrive
 * @param inbound whether bytes to the dispatcher arrive
 * @param delaySeconds of all bytes
 * @param jitterSeconds the most that is added to the delay at random
 * @param lossFraction of the messages
 * @param bytesPerSecond in each direction; infinite for no limit
 * @param duplicationFraction of the datagrams, which arrive twice
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
    /** A link without faults. */
    public static final LinkState OPEN =
            new LinkState(false, true, true, 0, 0, 0, Double.POSITIVE_INFINITY, 0);

    /** Delay before a lost message is sent again; it doubles with each further loss. */
    public static final double RETRANSMIT_DELAY_SECONDS = 0.2;

    /** Most losses of the same message; the next copy always arrives. */
    private static final int MAX_RETRANSMITS = 3;

    /**
     * Draws by how many seconds a message of a stream arrives later than on a link without faults.
     *
     * @param random draws from 0 to 1
     */
    public double drawExtraDelaySeconds(DoubleSupplier random) {
        double laterSeconds =
                delaySeconds + (jitterSeconds > 0 ? jitterSeconds * random.getAsDouble() : 0);
        for (int i = 0;
                lossFraction > 0 && i < MAX_RETRANSMITS && random.getAsDouble() < lossFraction;
                i++) {
            laterSeconds += RETRANSMIT_DELAY_SECONDS * (1 << i);
        }
        return laterSeconds;
    }

    /** Returns the most that {@link #drawExtraDelaySeconds} and a message of this size add. */
    public double maxExtraDelaySeconds(int messageBytes) {
        double retransmitSeconds =
                lossFraction > 0 ? RETRANSMIT_DELAY_SECONDS * ((1 << MAX_RETRANSMITS) - 1) : 0;
        return delaySeconds + jitterSeconds + retransmitSeconds + messageBytes / bytesPerSecond;
    }
}
