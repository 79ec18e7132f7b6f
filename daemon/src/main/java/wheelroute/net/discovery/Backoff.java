package wheelroute.net.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between failed calls to discovery. The delays are bounded by a
 * recovery time, and by the rate at which a whole fleet of dispatchers may call discovery. {@link
 * DiscoveryCallPolicy} decides when they apply; the adapter and the simulation, whose calls have no
 * connections, use this class alone.
 *
 * <p>Calls become rarer while discovery is down, and dispatchers whose calls failed together spread
 * out. Nevertheless the endpoint list must be complete within 6 s of discovery becoming reachable
 * again, however many calls have failed before. The maximum delay is therefore derived backwards
 * from that moment, R. A call that fails after R was started before R, because a call started after
 * R is answered. The time from R until the list is complete then consists of
 *
 * <ul>
 *   <li>the rest of the failing call, at most its duration;
 *   <li>the delay after that call, at most {@code MAX_RECOVERY_TIME_SECONDS - CALL_TIMEOUT_SECONDS
 *       - callDuration};
 *   <li>the next call, from its connect to the last byte of its response, at most {@link
 *       #CALL_TIMEOUT_SECONDS}, after which it times out.
 * </ul>
 *
 * <p>The sum is {@link #MAX_RECOVERY_TIME_SECONDS}, however the call failed. The only exception is
 * a call whose response stalled after having been received for seconds. Such a call leaves no time
 * for a delay, but {@link #MIN_DELAY_SECONDS} still applies.
 *
 * <p>With that bound alone a large fleet would never recover from an overload: if every dispatcher
 * calls again within the bound, the queue of discovery stays longer than any caller waits, and no
 * call is answered. A dispatcher that knows that discovery is overloaded therefore calls no more
 * often than {@link #fleetInterval} allows, and doubles the interval with each failure while the
 * overload lasts. A dispatcher of a large fleet also observes the fleet interval without knowing of
 * an overload, from {@link #FAILURES_BEFORE_FLEET_RATE} failures on. The recovery time grows
 * accordingly.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
public final class Backoff {
    /**
     * Maximum time from discovery becoming reachable to the complete list, without rate limits for
     * the fleet: 1.2 s less than the permitted 6 s, as a margin for a shared core and the network.
     */
    public static final double MAX_RECOVERY_TIME_SECONDS = 4.8;

    /** Lower bound of every delay, so that calls that fail at once are not repeated in a loop. */
    private static final double MIN_DELAY_SECONDS = 0.1;

    /**
     * Timeout of a call, including its connect: the longest timeout of which two fit into the
     * recovery time. Discovery serves calls in order, and completes even those that have timed out.
     * With a shorter timeout a dispatcher would lose its place in the queue of discovery, although
     * discovery still spends the work on the call.
     */
    public static final double CALL_TIMEOUT_SECONDS =
            (MAX_RECOVERY_TIME_SECONDS - 2 * MIN_DELAY_SECONDS) / 2;

    /**
     * Lower bound of the first delay; the bound doubles with each failure up to the maximum delay.
     */
    private static final double INITIAL_DELAY_SECONDS = 0.5;

    /**
     * The share of each dispatcher in the fleet interval: the time that discovery needs for one
     * call, with a margin.
     */
    private static final double FLEET_INTERVAL_PER_DISPATCHER_SECONDS = 0.1;

    /**
     * Upper bound of the fleet interval: a discovery that needs longer to serve the whole fleet
     * cannot announce a change within 6 s.
     */
    private static final double MAX_FLEET_INTERVAL_SECONDS = 5;

    /**
     * The number of consecutive failures from which a large fleet observes the fleet interval.
     * Before that an overload has had no time to build up.
     */
    private static final int FAILURES_BEFORE_FLEET_RATE = 3;

    /**
     * Upper bound of the interval between calls, which doubles with each failure under overload.
     * The bound ensures that a recovery is still noticed soon.
     */
    private static final double MAX_OVERLOAD_INTERVAL_SECONDS = 20;

    /**
     * The share of each dispatcher in the start spread, the time over which the first calls of a
     * fleet that may have started together are distributed.
     */
    private static final double START_SPREAD_PER_DISPATCHER_SECONDS = 0.08;

    /**
     * Upper bound of the start spread, with which the first response still arrives within 6 s,
     * including the time in the queue of discovery.
     */
    private static final double MAX_START_SPREAD_SECONDS = 4;

    /**
     * Lower bound of the start spread: the first calls of a fleet whose spread would be shorter are
     * not delayed at all.
     */
    private static final double MIN_START_SPREAD_SECONDS = 1;

    private final SplittableRandom random;
    private final int dispatchers;
    private double currentDelay = INITIAL_DELAY_SECONDS;
    private int failures;
    private double overloadInterval;

    /**
     * Creates the backoff of a dispatcher that is the only one to call discovery.
     *
     * @param seed of the jitter
     */
    public Backoff(long seed) {
        this(seed, 1);
    }

    /**
     * Creates a backoff in its initial state.
     *
     * @param seed of the jitter; must differ between dispatchers that may fail at the same time
     * @param dispatchers the number of dispatchers that call the same discovery
     */
    public Backoff(long seed, int dispatchers) {
        random = new SplittableRandom(seed);
        this.dispatchers = dispatchers;
        overloadInterval = fleetInterval();
    }

    /**
     * Returns the delay in seconds before the first call of a process that has a list. Without a
     * delay, processes that start together would fill the queue of discovery.
     */
    public double startDelay() {
        double spread =
                Math.min(
                        MAX_START_SPREAD_SECONDS,
                        START_SPREAD_PER_DISPATCHER_SECONDS * dispatchers);
        return spread < MIN_START_SPREAD_SECONDS ? 0 : spread * random.nextDouble();
    }

    /**
     * Returns the delay in seconds before the next call to a discovery that is not known to be
     * overloaded.
     */
    public double nextDelay(double callDuration) {
        return nextDelay(callDuration, false);
    }

    /**
     * Returns the delay in seconds before the next call, after a call that failed or timed out.
     *
     * @param callDuration the time from the failed call's connect to its failure, in seconds
     * @param overloaded whether discovery is known to have more callers than it can serve
     */
    public double nextDelay(double callDuration, boolean overloaded) {
        double maxDelay =
                Math.max(
                        2 * MIN_DELAY_SECONDS,
                        MAX_RECOVERY_TIME_SECONDS - CALL_TIMEOUT_SECONDS - callDuration);
        double minDelay = Math.min(currentDelay, maxDelay / 2);
        currentDelay = Math.min(2 * currentDelay, MAX_RECOVERY_TIME_SECONDS);
        double delay = minDelay * (1 + random.nextDouble());
        return Math.max(delay, nextInterval(overloaded) - callDuration);
    }

    /** Returns the minimum time from the start of the failed call to the start of the next one. */
    private double nextInterval(boolean overloaded) {
        failures++;
        double interval = 0;
        if (overloaded) {
            interval = overloadInterval;
            overloadInterval = Math.min(2 * overloadInterval, MAX_OVERLOAD_INTERVAL_SECONDS);
        } else if (failures >= FAILURES_BEFORE_FLEET_RATE && isLargeFleet()) {
            interval = fleetInterval();
        }
        // The jitter is up to half the interval either way, so that the dispatchers' calls stay
        // spread out.
        return interval > 0 ? interval * (0.5 + random.nextDouble()) : 0;
    }

    /**
     * Returns whether the fleet would exceed its permitted call rate if each dispatcher called
     * within the recovery time.
     */
    public boolean isLargeFleet() {
        return fleetInterval() > MAX_RECOVERY_TIME_SECONDS - CALL_TIMEOUT_SECONDS;
    }

    /** Returns the minimum interval between the calls of one dispatcher of this fleet. */
    private double fleetInterval() {
        return Math.min(
                MAX_FLEET_INTERVAL_SECONDS, FLEET_INTERVAL_PER_DISPATCHER_SECONDS * dispatchers);
    }

    /**
     * Resets the delays and the number of failures to their initial values, after a call that was
     * answered.
     */
    public void reset() {
        currentDelay = INITIAL_DELAY_SECONDS;
        failures = 0;
        overloadInterval = fleetInterval();
    }
}
