package wheelroute.discovery;

import java.util.SplittableRandom;

/**
 * How long to wait after a call for the list has failed. A discovery that is down or has too many
 * callers is asked less and less often, and by each dispatcher at another time; but its news count
 * as told 6 s after it could be reached again, whatever failed before.
 *
 * <p>So the pause is reckoned backwards from that moment, R, to the whole answer. A call that fails
 * after R began before R, or it would have been answered. What is left to pass after R is then
 *
 * <ul>
 *   <li>the rest of the call that fails, which took {@code took} in all: at most {@code took};
 *   <li>the pause after it: at most {@code RETURN_TO_ANSWER - took - PATIENCE};
 *   <li>the next call, from its connect to the last byte of its answer: {@link #CALL_TIMEOUT}, or
 *       it is given up.
 * </ul>
 *
 * Together {@link #MAX_RECOVERY_TIME}, whichever way the call failed. Only a call that took so long
 * that nothing is left for a pause, which is one with an answer that went on for seconds and
 * stopped, is waited out by {@link #MIN_DELAY} all the same: the time that it took was heard time.
 */
public final class Backoff {
    /** 1.2 s under what is allowed: for a core that is shared, and for what the network takes. */
    public static final double MAX_RECOVERY_TIME = 4.8;

    /**
     * A call that holds nothing is given up after this long, with the connection's coming up.
     * Discovery works through calls in turn, so all who ask at its return wait for each other: the
     * longer each may wait, the fewer give up their place in that queue, and the shorter the pauses
     * have to be.
     */
    public static final double CALL_TIMEOUT = 1.8;

    /**
     * The first pause, up to twice of it; it doubles with each failure while the reckoning lets it.
     */
    private static final double INITIAL_DELAY = 0.5;

    /**
     * No failure is followed by a call sooner than this: what fails at once would be asked all the
     * time.
     */
    private static final double MIN_DELAY = 0.1;

    private final SplittableRandom random;
    private double currentDelay = INITIAL_DELAY;

    /** The seed parts dispatchers that fail in one moment. */
    public Backoff(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * How long to wait after a call that failed, or was given up, so long after its connect began.
     */
    public double nextDelay(double callDuration) {
        double maxDelay = Math.max(2 * MIN_DELAY, MAX_RECOVERY_TIME - CALL_TIMEOUT - callDuration);
        double minDelay = Math.min(currentDelay, maxDelay / 2);
        currentDelay = Math.min(2 * currentDelay, MAX_RECOVERY_TIME);
        // Spread over as much again: the longer the pause, the further apart are those that failed
        // together.
        return minDelay * (1 + random.nextDouble());
    }

    /** A call was answered. */
    public void reset() {
        currentDelay = INITIAL_DELAY;
    }
}
