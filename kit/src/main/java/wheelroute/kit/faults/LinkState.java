package wheelroute.kit.faults;

import java.util.function.DoubleSupplier;

/**
 * What a way lets through just now.
 *
 * @param refuses nothing is open, nothing is accepted
 * @param forth bytes from the dispatcher arrive
 * @param back bytes to the dispatcher arrive
 * @param delay by which they come later, in seconds
 * @param spread by which they come later still, by chance, at most
 * @param loss the part of the pieces that is lost on the way
 * @param rate bytes a second in each direction; infinite for no limit
 * @param doubled the part of the datagrams that comes twice
 */
public record LinkState(
        boolean refuses,
        boolean forth,
        boolean back,
        double delay,
        double spread,
        double loss,
        double rate,
        double doubled) {
    public static final LinkState OPEN =
            new LinkState(false, true, true, 0, 0, 0, Double.POSITIVE_INFINITY, 0);

    /** A sender takes this long to find out that a piece was lost, and sends it again. */
    public static final double RESEND = 0.2;

    /** After so many losses of one piece running the next one gets through. */
    private static final int MOST_RESENDS = 3;

    /** How much later a piece comes; each draw of chance, from 0 to 1, is asked for once. */
    public double later(DoubleSupplier chance) {
        double later = delay + (spread > 0 ? spread * chance.getAsDouble() : 0);
        for (int i = 0; loss > 0 && i < MOST_RESENDS && chance.getAsDouble() < loss; i++) {
            later += RESEND * (1 << i);
        }
        return later;
    }

    /** No message of this size, in bytes, comes later than by this. */
    public double mostLater(int size) {
        double resends = loss > 0 ? RESEND * ((1 << MOST_RESENDS) - 1) : 0;
        return delay + spread + resends + size / rate;
    }
}
