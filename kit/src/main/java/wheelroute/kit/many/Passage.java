package wheelroute.kit.many;

/**
 * What a way lets through just now.
 *
 * @param refuses nothing is open, nothing is accepted
 * @param forth bytes from the dispatcher arrive
 * @param back bytes to the dispatcher arrive
 * @param delay by which they come later, in seconds
 */
public record Passage(boolean refuses, boolean forth, boolean back, double delay) {
    public static final Passage OPEN = new Passage(false, true, true, 0);
}
