package wheelroute.net.discovery;

import java.util.SplittableRandom;
import wheelroute.net.loop.EventLoop;

/**
 * When the calls of an endpoint watch are made, how long discovery may hold them, and when they
 * time out. Only for the event loop's thread.
 */
final class WatchTiming {
    /**
     * What a silent watch has missed counts as known 6 s after it fell silent. Of these a call
     * holds 3 to 3.6, so that the silence is noticed after 4.5 at most, and enough is left to wait
     * for a turn at discovery and to poll once more.
     */
    static final int HOLD_MILLIS = 3000;

    /** Dispatchers that start together would otherwise poll in step for ever. */
    private static final int HOLD_JITTER_MILLIS = 600;

    /** A response that is this many seconds late after its hold is given up. */
    static final double SILENCE_TIMEOUT_SECONDS = 0.9;

    /**
     * Seconds without backoff after a silence: the time to learn what it kept from us is running.
     */
    private static final double CATCH_UP_PERIOD = 2;

    /**
     * A new address must have sent the complete list within 4 s: until then there is no backoff.
     */
    private static final double URGENT_PERIOD = 4;

    /**
     * Within these periods a call without a hold has this long in a small fleet: two more may
     * follow it in time.
     */
    private static final double URGENT_CALL_TIMEOUT = 1.2;

    private static final double URGENT_RETRY_DELAY = 0.2;

    private final EventLoop loop;
    private final boolean listIsPushed;
    private final SplittableRandom random;
    private final Backoff backoff;
    private final OverloadDetector overload = new OverloadDetector();
    private double urgentUntil = Double.NEGATIVE_INFINITY;

    /** The last call failed, and none since has been answered. */
    private boolean recovering;

    WatchTiming(EventLoop loop, EndpointWatch.WatchOptions options) {
        this.loop = loop;
        listIsPushed = options.listIsPushed();
        random = new SplittableRandom(options.seed());
        backoff = new Backoff(random.nextLong(), options.dispatchers());
    }

    /** The complete list is wanted soon, from an address that is new. */
    void onUrgentStart() {
        urgentUntil = loop.now() + URGENT_PERIOD;
    }

    /** The watch fell silent: changes may have been missed. */
    void onSilence() {
        urgentUntil = loop.now() + CATCH_UP_PERIOD;
    }

    /** What was known there has come. */
    void onList() {
        urgentUntil = Double.NEGATIVE_INFINITY;
    }

    void onFailure(DiscoveryCall call) {
        recovering = true;
        // A call that discovery may hold is silent in any case.
        if (!call.hasHold() && call.isConnected()) {
            overload.onFailure(call.duration(), call.isRejected());
        }
    }

    /** Whether discovery is up and has more callers than it serves. */
    boolean isOverloaded() {
        return overload.isOverloaded();
    }

    void onResponse() {
        recovering = false;
        overload.onAnswer();
        backoff.reset();
    }

    private boolean isUrgent() {
        return loop.now() < urgentUntil;
    }

    /** How long a call without a hold may take, with its connection's setup, in seconds. */
    double callTimeout() {
        // A large fleet that lost its watches together queues up: who gives up loses its place, and
        // the work on its call is spent all the same.
        return isUrgent() && !backoff.isLargeFleet()
                ? URGENT_CALL_TIMEOUT
                : Backoff.CALL_TIMEOUT_SECONDS;
    }

    /** How long discovery may hold the next call while nothing changes, in milliseconds. */
    int nextHoldMillis() {
        if (isUrgent() || recovering) {
            // What is known there is wanted at once, and whether it answers at all.
            return 0;
        }
        return HOLD_MILLIS + random.nextInt(HOLD_JITTER_MILLIS);
    }

    /** How long to wait before the first call of a process that knows a list, in seconds. */
    double startDelay() {
        return listIsPushed ? 0 : backoff.startDelay();
    }

    /**
     * How long to wait after a failed call, in seconds.
     *
     * @param callDuration seconds that the call has taken
     */
    double retryDelay(double callDuration) {
        double delay = backoff.nextDelay(callDuration, isOverloaded());
        boolean hurries = listIsPushed || (isUrgent() && !isOverloaded());
        return hurries ? URGENT_RETRY_DELAY : delay;
    }
}
