package wheelroute.kit.faults;

import java.util.function.DoubleSupplier;

/**
 * What a way lets through just now.
 *
 * @param refuses nothing is open, nothing is accepted
 * @param outbound bytes from the dispatcher arrive
 * @param inbound bytes to the dispatcher arrive
 * @param delay by which they come later, in seconds
 * @param jitter by which they come later still, by chance, at most
 * @param loss the part of the pieces that is lost on the way
 * @param rate bytes a second in each direction; infinite for no limit
 * @param duplication the part of the datagrams that comes twice
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
    public static final LinkState OPEN =
            new LinkState(false, true, true, 0, 0, 0, Double.POSITIVE_INFINITY, 0);

    /** A sender takes this long to find out that a piece was lost, and sends it again. */
    public static final double RETRANSMIT_DELAY = 0.2;

    /** After so many losses of one piece running the next one gets through. */
    private static final int MAX_RETRANSMITS = 3;

    /** How much later a piece comes; each draw of chance, from 0 to 1, is asked for once. */
    public double extraDelay(DoubleSupplier chance) {
        double later = delay + (jitter > 0 ? jitter * chance.getAsDouble() : 0);
        for (int i = 0; loss > 0 && i < MAX_RETRANSMITS && chance.getAsDouble() < loss; i++) {
            later += RETRANSMIT_DELAY * (1 << i);
        }
        return later;
    }

    /** No message of this size, in bytes, comes later than by this. */
    public double maxDelay(int size) {
        double resends = loss > 0 ? RETRANSMIT_DELAY * ((1 << MAX_RETRANSMITS) - 1) : 0;
        return delay + jitter + resends + size / rate;
    }
}
