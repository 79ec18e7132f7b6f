package wheelroute.net.discovery;

import java.util.Locale;
import wheelroute.net.loop.EventLoop;

/**
 * Tracks the progress of the open call on a connection to discovery. The first call of a connection
 * includes the connect. Confined to the event loop's thread.
 */
final class CallProgress {
    private enum Phase {
        CONNECTING("while connecting"),
        WAITING("while waiting for the response"),
        READING("while reading the response");

        private final String text;

        Phase(String text) {
            this.text = text;
        }
    }

    private final EventLoop loop;
    private Phase phase = Phase.CONNECTING;

    /** Start of the open call on the event loop's clock, in seconds. */
    private double startedAt;

    /** How long discovery may hold the open call; 0 if it may not. */
    private double holdSeconds;

    /** The time of the last part of the response, on the event loop's clock in seconds. */
    private double lastPartAt;

    /** The longest time between two parts of the response. */
    private double longestGapSeconds;

    /** Creates the progress of a call that starts now with its connect. */
    CallProgress(EventLoop loop) {
        this.loop = loop;
        startedAt = loop.now();
    }

    /**
     * Records that a request is being sent. Each request starts a new call, except the first
     * request of a connection, whose call started with the connect.
     *
     * @param newHoldSeconds how long discovery may hold the call; 0 if it is not to be held
     */
    void onRequest(double newHoldSeconds) {
        if (phase != Phase.CONNECTING) {
            startedAt = loop.now();
        }
        phase = Phase.WAITING;
        holdSeconds = newHoldSeconds;
    }

    /**
     * Records that a part of the response has arrived. Returns true for the first part of a
     * response.
     */
    boolean onResponseBytes() {
        boolean isFirst = phase != Phase.READING;
        phase = Phase.READING;
        double now = loop.now();
        longestGapSeconds = isFirst ? 0 : Math.max(longestGapSeconds, now - lastPartAt);
        lastPartAt = now;
        return isFirst;
    }

    /** Returns the longest time between two parts of the response so far, in seconds. */
    double longestGapSeconds() {
        return longestGapSeconds;
    }

    /** Returns whether the connection has been established and a request has been sent. */
    boolean isConnected() {
        return phase != Phase.CONNECTING;
    }

    /** Returns whether a part of the response has arrived. */
    boolean isReading() {
        return phase == Phase.READING;
    }

    /** Returns how long discovery may hold the call, in seconds; 0 if it may not. */
    double holdSeconds() {
        return holdSeconds;
    }

    /** Returns whether discovery may hold the call until a change. */
    boolean isHeld() {
        return holdSeconds != 0;
    }

    /** Returns the time since the start of the open call. */
    double durationSeconds() {
        return loop.now() - startedAt;
    }

    /**
     * Returns the rest of a timeout that runs from the start of the call, in seconds; negative
     * after the timeout.
     */
    double secondsLeft(double timeoutSeconds) {
        return startedAt + timeoutSeconds - loop.now();
    }

    /** Returns the phase, duration and hold time of the call for log lines. */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s, %.3f s after call start, hold time %.1f s",
                phase.text,
                durationSeconds(),
                holdSeconds);
    }
}
