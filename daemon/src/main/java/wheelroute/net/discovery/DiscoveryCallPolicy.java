package wheelroute.net.discovery;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.util.SplittableRandom;
import wheelroute.net.loop.EventLoop;

/**
 * Decides when the calls of an endpoint watch are made, how long discovery may hold them, and when
 * they time out. No other class makes these decisions; {@link Backoff} only computes the delays
 * after failures for this class.
 *
 * <p>The decisions depend on the {@link State}:
 *
 * <table>
 *   <caption>Calls by state</caption>
 *   <tr><th>state</th><th>hold</th><th>timeout</th><th>delay after a failure</th></tr>
 *   <tr><td>steady</td><td>3 to 3.6 s, less what the last call waited in the queue of
 *       discovery</td><td>3.9 to 4.5 s</td>
 *       <td>none if a working connection was lost or a held call timed out, else backoff</td></tr>
 *   <tr><td>recovering</td><td>none</td><td>2.3 s</td><td>backoff</td></tr>
 *   <tr><td>catching up</td><td>none</td><td>1.2 s, in a large fleet 2.3 s</td><td>0.2 s</td></tr>
 *   <tr><td>overloaded</td><td>none</td><td>as if not overloaded</td>
 *       <td>backoff, limited to the call rate that the fleet may use</td></tr>
 * </table>
 *
 * <p>A call that times out may still be answered within 4 s, while the next call is made as usual;
 * see {@link LateCalls}.
 *
 * <p>If the list is pushed, the delay after a failure is 0.2 s in each state.
 *
 * <p>Times are in seconds. Confined to the event loop's thread.
 */
final class DiscoveryCallPolicy {
    /**
     * How long discovery may hold a call, without jitter. A change counts as known 6 s after a
     * watch has lost its connection unnoticed. A call is held for up to 3.6 s and times out after
     * 4.5 s, which leaves time for one more call, including its wait in the queue of discovery.
     */
    private static final int HOLD_MILLIS = 3000;

    /**
     * Maximum jitter of the hold time, which spreads the calls of dispatchers that started
     * together.
     */
    private static final int HOLD_JITTER_MILLIS = 600;

    /** A held call fails if no response arrives within this time after its hold. */
    private static final double HOLD_OVERRUN_TIMEOUT_SECONDS = 0.9;

    /**
     * A response that has begun fails if no further part of it arrives within this time, in
     * addition to the gaps in the last response.
     */
    private static final double RESPONSE_GAP_TIMEOUT_SECONDS = HOLD_OVERRUN_TIMEOUT_SECONDS;

    /** A response that has begun must be complete within this time. */
    private static final double COMPLETE_RESPONSE_TIMEOUT_SECONDS = 3;

    /** Shorter waits for a response or a part of it are within the timeouts, and do not count. */
    private static final double MIN_WAIT_SECONDS = HOLD_OVERRUN_TIMEOUT_SECONDS / 2;

    /**
     * How long a call may be answered after it has timed out. A slow discovery may leave a call in
     * its queue for longer than the timeouts here, which leave time for another call in case a
     * connection was lost. A later response would come after the time at which changes count as
     * known.
     */
    private static final double LATE_RESPONSE_TIMEOUT_SECONDS = 4;

    /**
     * A response without changes is early if it arrives after less than this fraction of the hold
     * time.
     */
    private static final double EARLY_HOLD_FRACTION = 0.5;

    /**
     * Delay after an early response without changes, so that calls are not repeated in a tight
     * loop.
     */
    private static final double EARLY_RESPONSE_DELAY_SECONDS = 0.1;

    /**
     * Duration of the state {@link State#CATCHING_UP} after a held call without a response, because
     * of which changes may have been missed.
     */
    private static final double CATCH_UP_SECONDS = 2;

    /**
     * Duration of the state {@link State#CATCHING_UP} at a new address, whose complete list must
     * have been received after 4 s.
     */
    static final double NEW_ADDRESS_CATCH_UP_SECONDS = 4;

    /**
     * Timeout of a call while catching up in a small fleet, chosen so that two more calls fit into
     * the remaining time.
     */
    private static final double CATCH_UP_CALL_TIMEOUT_SECONDS = 1.2;

    /** Delay after a failed call while catching up, and in every state if the list is pushed. */
    private static final double SHORT_RETRY_DELAY_SECONDS = 0.2;

    /**
     * The state of the watch, in ascending order of severity; several may apply at the same time.
     */
    enum State {
        /** The last call was answered. */
        STEADY,
        /** The last call failed. */
        RECOVERING,
        /** Changes may have been missed, and must be received within a fixed time. */
        CATCHING_UP,
        /** Discovery is up but has more callers than it can serve. */
        OVERLOADED
    }

    private final EventLoop loop;
    private final boolean listIsPushed;
    private final SplittableRandom random;
    private final Backoff backoff;
    private final OverloadDetector overloadDetector = new OverloadDetector();

    /** The end of the state {@link State#CATCHING_UP}, on the event loop's clock in seconds. */
    private double catchUpUntil = Double.NEGATIVE_INFINITY;

    private boolean lastCallFailed;

    /** How long the last call waited in the queue of discovery, or 0 if that was short. */
    private double queueWaitSeconds;

    /** The longest time between two parts of the last response, or 0 if that was short. */
    private double responseGapSeconds;

    DiscoveryCallPolicy(EventLoop loop, EndpointWatch.WatchOptions options) {
        this.loop = loop;
        listIsPushed = options.listIsPushed();
        random = new SplittableRandom(options.seed());
        backoff = new Backoff(random.nextLong(), options.dispatchers());
    }

    /** Returns the most severe of the states that apply. */
    State state() {
        if (isOverloaded()) {
            return State.OVERLOADED;
        }
        if (isCatchingUp()) {
            return State.CATCHING_UP;
        }
        return lastCallFailed ? State.RECOVERING : State.STEADY;
    }

    /** Returns whether discovery is up but has more callers than it can serve. */
    boolean isOverloaded() {
        return overloadDetector.isOverloaded();
    }

    private boolean isCatchingUp() {
        return loop.now() < catchUpUntil;
    }

    /** Records that the watch starts at a new address, whose complete list is needed urgently. */
    void onNewAddress() {
        catchUpUntil = loop.now() + NEW_ADDRESS_CATCH_UP_SECONDS;
    }

    /** Records that a list was received, so that no change is missing any more. */
    void onList() {
        catchUpUntil = Double.NEGATIVE_INFINITY;
    }

    /** Records a valid response, which ends a backoff and an overload. */
    void onResponse() {
        lastCallFailed = false;
        overloadDetector.onResponse();
        backoff.reset();
    }

    /**
     * Records how long an answered call took in addition to the time for which it was held. The
     * next held call is held for less by as much, so that it neither times out nor takes longer.
     */
    void onQueueWait(double seconds) {
        queueWaitSeconds = longWait(seconds);
    }

    /**
     * Records the longest time between two parts of a response. The next response may pause for as
     * long without being taken for lost.
     */
    void onResponseGap(double seconds) {
        responseGapSeconds = longWait(seconds);
    }

    private static double longWait(double seconds) {
        return seconds < MIN_WAIT_SECONDS ? 0 : seconds;
    }

    /** Records a failed call; {@link #delayAfterFailure} then returns the delay after it. */
    void onFailure(CallFailure failure) {
        lastCallFailed = true;
        // A held call waits long for its response even if discovery is not overloaded.
        if (!failure.held() && failure.connected()) {
            overloadDetector.onFailure(failure.durationSeconds(), failure.rejected());
        }
    }

    /**
     * Returns the delay in seconds before the first call of a process that has a list; 0 for none.
     */
    double delayAtStart() {
        return listIsPushed ? 0 : backoff.startDelay();
    }

    /**
     * Returns the delay in seconds before the call after a response; 0 for none.
     *
     * @param durationSeconds the time from the start of the answered call to the end of its
     *     response
     */
    double delayAfterResponse(boolean hasChanges, double durationSeconds) {
        boolean early = durationSeconds < HOLD_MILLIS / MILLIS_PER_SECOND * EARLY_HOLD_FRACTION;
        return !hasChanges && early ? EARLY_RESPONSE_DELAY_SECONDS : 0;
    }

    /** Returns the delay in seconds before the call after a failed call; 0 for none. */
    double delayAfterFailure(CallFailure failure) {
        boolean heldWithoutResponse =
                failure.kind() == CallFailure.Kind.NO_RESPONSE && failure.held();
        if (heldWithoutResponse) {
            // The connection may have been lost unnoticed, so that changes were missed.
            catchUpUntil = loop.now() + CATCH_UP_SECONDS;
            return 0;
        }
        if (failure.kind() == CallFailure.Kind.CONNECTION_LOST && failure.answeredBefore()) {
            // The watch worked until now, so the next change should not be delayed.
            return 0;
        }
        double backoffDelay = backoff.nextDelay(failure.durationSeconds(), isOverloaded());
        return listIsPushed || state() == State.CATCHING_UP
                ? SHORT_RETRY_DELAY_SECONDS
                : backoffDelay;
    }

    /** Returns how long discovery may hold the next call while nothing changes, in milliseconds. */
    int nextHoldMillis() {
        if (state() != State.STEADY) {
            return 0;
        }
        int holdMillis = HOLD_MILLIS + random.nextInt(HOLD_JITTER_MILLIS);
        return Math.max(0, holdMillis - (int) (queueWaitSeconds * MILLIS_PER_SECOND));
    }

    /** Returns the timeout in seconds of a call that is not held, including its connect. */
    double callTimeout() {
        // In a large fleet many calls may be queued at discovery. A call that times out loses its
        // place in the queue, although discovery still spends the work on the call.
        return isCatchingUp() && !backoff.isLargeFleet()
                ? CATCH_UP_CALL_TIMEOUT_SECONDS
                : Backoff.CALL_TIMEOUT_SECONDS;
    }

    /**
     * Returns the timeout in seconds from the request of a held call to the beginning of its
     * response.
     */
    double heldCallTimeout(double holdSeconds) {
        return queueWaitSeconds + holdSeconds + HOLD_OVERRUN_TIMEOUT_SECONDS;
    }

    /** Returns the timeout in seconds of a call that stays open after it has timed out. */
    double lateResponseTimeout() {
        return LATE_RESPONSE_TIMEOUT_SECONDS;
    }

    /**
     * Returns the time, on the event loop's clock in seconds, at which a response that begins now
     * must be complete.
     */
    double responseDeadline() {
        return loop.now() + COMPLETE_RESPONSE_TIMEOUT_SECONDS;
    }

    /** Returns the timeout in seconds until the next part of a response arrives. */
    double nextPartTimeout(double responseDeadline) {
        return Math.min(
                responseGapSeconds + RESPONSE_GAP_TIMEOUT_SECONDS, responseDeadline - loop.now());
    }
}
