package wheelroute.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between failed calls to discovery, bounded by a recovery time.
 *
 * <p>Calls become rarer while discovery is down or overloaded, and dispatchers that failed together
 * spread out. The endpoint list must nevertheless be complete within 6 s of discovery becoming
 * reachable again, however many calls failed before. The maximum delay is therefore derived
 * backwards from that moment, R. A call that fails after R has started before R, or it would have
 * been answered. What remains after R is then
 *
 * <ul>
 *   <li>the rest of the failing call: at most its duration;
 *   <li>the delay after it: at most {@code MAX_RECOVERY_TIME - CALL_TIMEOUT - callDuration};
 *   <li>the next call, from its connect to the last byte of its response: at most {@link
 *       #CALL_TIMEOUT}, after which it is abandoned.
 * </ul>
 *
 * <p>The sum is {@link #MAX_RECOVERY_TIME}, whichever way the call failed. The exception is a call
 * whose response went on for seconds and then stalled, so that no time is left for a delay: {@link
 * #MIN_DELAY} applies all the same.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
public final class Backoff {
    /** 1.2 s below the allowed recovery time, as a margin for a shared core and the network. */
    public static final double MAX_RECOVERY_TIME = 4.8;

    /**
     * A call is abandoned after this long, including its connect. Discovery serves calls in turn,
     * so callers queue behind each other when it returns: a longer timeout lets fewer of them lose
     * their position in that queue, but requires shorter delays.
     */
    public static final double CALL_TIMEOUT = 1.8;

    /** Lower bound of the first delay; doubles with each failure up to the maximum delay. */
    private static final double INITIAL_DELAY = 0.5;

    /** Lower bound of every delay, so that calls that fail at once are not repeated in a loop. */
    private static final double MIN_DELAY = 0.1;

    private final SplittableRandom random;
    private double currentDelay = INITIAL_DELAY;

    /**
     * Creates a backoff in its initial state.
     *
     * @param seed of the jitter; must differ between dispatchers that may fail at the same moment
     */
    public Backoff(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * The delay before the next call, after a call that failed or timed out.
     *
     * @param callDuration seconds from the failed call's connect to its failure
     */
    public double nextDelay(double callDuration) {
        double maxDelay = Math.max(2 * MIN_DELAY, MAX_RECOVERY_TIME - CALL_TIMEOUT - callDuration);
        double minDelay = Math.min(currentDelay, maxDelay / 2);
        currentDelay = Math.min(2 * currentDelay, MAX_RECOVERY_TIME);
        // Jitter in proportion to the delay: the longer callers wait, the further apart they call.
        return minDelay * (1 + random.nextDouble());
    }

    /** Returns to the initial delay, after a call that was answered. */
    public void reset() {
        currentDelay = INITIAL_DELAY;
    }
}
