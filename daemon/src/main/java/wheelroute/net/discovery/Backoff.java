package wheelroute.net.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between failed calls to discovery, bounded by a recovery time and
 * by what a fleet of dispatchers may ask of discovery together.
 *
 * <p>Calls become rarer while discovery is down or overloaded, and dispatchers that failed together
 * spread out. The endpoint list must nevertheless be complete within 6 s of discovery becoming
 * reachable again, however many calls failed before. The maximum delay is therefore derived
 * backwards from that moment, R. A call that fails after R has started before R, or it would have
 * been answered. What remains after R is then
 *
 * <ul>
 *   <li>the rest of the failing call: at most its duration;
 *   <li>the delay after it: at most {@code MAX_RECOVERY_TIME_SECONDS - CALL_TIMEOUT_SECONDS -
 *       callDuration};
 *   <li>the next call, from its connect to the last byte of its response: at most {@link
 *       #CALL_TIMEOUT_SECONDS}, after which it is abandoned.
 * </ul>
 *
 * <p>The sum is {@link #MAX_RECOVERY_TIME_SECONDS}, whichever way the call failed. The exception is
 * a call whose response went on for seconds and then stalled, so that no time is left for a delay:
 * {@link #MIN_DELAY} applies all the same.
 *
 * <p>That bound alone makes a crowd permanent: a large fleet whose every member calls again within
 * the bound keeps the queue of discovery longer than any caller waits, and discovery answers
 * nobody. So a dispatcher of a large fleet that has failed {@link #FAILURES_BEFORE_FLEET_INTERVAL}
 * times, or knows that discovery is overloaded, calls no more often than {@link #fleetInterval}
 * allows, and ever more rarely while the overload lasts. Then the recovery time is longer by as
 * much; a small fleet keeps it.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
public final class Backoff {
    /** 1.2 s below the allowed recovery time, as a margin for a shared core and the network. */
    public static final double MAX_RECOVERY_TIME_SECONDS = 4.8;

    /** Lower bound of every delay, so that calls that fail at once are not repeated in a loop. */
    private static final double MIN_DELAY = 0.1;

    /**
     * A call is abandoned after this long, including its connect: the longest of which two fit into
     * the recovery time. Discovery serves calls in turn, and works on an abandoned call all the
     * same: a shorter timeout gives up a place in the queue that is paid for.
     */
    public static final double CALL_TIMEOUT_SECONDS =
            (MAX_RECOVERY_TIME_SECONDS - 2 * MIN_DELAY) / 2;

    /** Lower bound of the first delay; doubles with each failure up to the maximum delay. */
    private static final double INITIAL_DELAY = 0.5;

    /** What a call may cost discovery, with a margin: the fleet calls once in so long for each. */
    private static final double INTERVAL_PER_DISPATCHER = 0.1;

    /** A service that cannot answer each dispatcher once in this time cannot tell changes in 6. */
    private static final double MAX_FLEET_INTERVAL = 5;

    /** Before these a crowd at the return of discovery has not shown yet. */
    private static final int FAILURES_BEFORE_FLEET_INTERVAL = 3;

    /** Under overload the interval doubles up to this: an operator still sees it recover. */
    private static final double MAX_OVERLOAD_INTERVAL = 20;

    /** First calls of processes that may have started together are spread over this per fleet. */
    private static final double START_SPREAD_PER_DISPATCHER = 0.08;

    /** With the wait in a queue, a start's first answer comes within the 6 s of a change. */
    private static final double MAX_START_SPREAD = 4;

    /** A handful of calls at once is no crowd. */
    private static final double MIN_START_SPREAD = 1;

    private final SplittableRandom random;
    private final int dispatchers;
    private double currentDelay = INITIAL_DELAY;
    private int failures;
    private double overloadInterval;

    /**
     * Creates the backoff of a dispatcher that is alone.
     *
     * @param seed of the jitter
     */
    public Backoff(long seed) {
        this(seed, 1);
    }

    /**
     * Creates a backoff in its initial state.
     *
     * @param seed of the jitter; must differ between dispatchers that may fail at the same moment
     * @param dispatchers how many call the same discovery
     */
    public Backoff(long seed, int dispatchers) {
        random = new SplittableRandom(seed);
        this.dispatchers = dispatchers;
        overloadInterval = fleetInterval();
    }

    /**
     * The delay before the first call of a process that knows a list: those that start together
     * would otherwise fill the queue of discovery at once.
     */
    public double startDelay() {
        double spread = Math.min(MAX_START_SPREAD, START_SPREAD_PER_DISPATCHER * dispatchers);
        return spread < MIN_START_SPREAD ? 0 : spread * random.nextDouble();
    }

    /** The same for a discovery that is not known to be overloaded. */
    public double nextDelay(double callDuration) {
        return nextDelay(callDuration, false);
    }

    /**
     * The delay before the next call, after a call that failed or timed out.
     *
     * @param callDuration seconds from the failed call's connect to its failure
     * @param overloaded whether discovery is known to have more callers than it serves
     */
    public double nextDelay(double callDuration, boolean overloaded) {
        double maxDelay =
                Math.max(
                        2 * MIN_DELAY,
                        MAX_RECOVERY_TIME_SECONDS - CALL_TIMEOUT_SECONDS - callDuration);
        double minDelay = Math.min(currentDelay, maxDelay / 2);
        currentDelay = Math.min(2 * currentDelay, MAX_RECOVERY_TIME_SECONDS);
        double delay = minDelay * (1 + random.nextDouble());
        return Math.max(delay, nextInterval(overloaded) - callDuration);
    }

    /** From the begin of the failed call to that of the next, at least. */
    private double nextInterval(boolean overloaded) {
        failures++;
        double interval = 0;
        if (overloaded) {
            interval = overloadInterval;
            overloadInterval = Math.min(2 * overloadInterval, MAX_OVERLOAD_INTERVAL);
        } else if (failures >= FAILURES_BEFORE_FLEET_INTERVAL && isLargeFleet()) {
            interval = fleetInterval();
        }
        // Half as much to half as much again: the crowd spreads out, and stays spread out.
        return interval > 0 ? interval * (0.5 + random.nextDouble()) : 0;
    }

    /** Whether the fleet would call more often within the recovery time than it may. */
    public boolean isLargeFleet() {
        return fleetInterval() > MAX_RECOVERY_TIME_SECONDS - CALL_TIMEOUT_SECONDS;
    }

    private double fleetInterval() {
        return Math.min(MAX_FLEET_INTERVAL, INTERVAL_PER_DISPATCHER * dispatchers);
    }

    /** Returns to the initial delay, after a call that was answered. */
    public void reset() {
        currentDelay = INITIAL_DELAY;
        failures = 0;
        overloadInterval = fleetInterval();
    }
}
