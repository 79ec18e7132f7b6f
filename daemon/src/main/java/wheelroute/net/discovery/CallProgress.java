package wheelroute.net.discovery;

import java.util.Locale;
import wheelroute.net.loop.EventLoop;

/**
 * The progress of the open call on a connection to discovery. The first call includes the connect.
 * Only for the event loop's thread.
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

    /** On the event loop's clock, in seconds. */
    private double startedAt;

    private double holdSeconds;

    /** Creates the progress of a call that starts now, with its connect. */
    CallProgress(EventLoop loop) {
        this.loop = loop;
        startedAt = loop.now();
    }

    /**
     * Records that a request is being sent. It starts a new call unless it is the connection's
     * first.
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

    /** Records that a part of the response has arrived; returns true for the first part. */
    boolean onResponseBytes() {
        boolean isFirst = phase != Phase.READING;
        phase = Phase.READING;
        return isFirst;
    }

    boolean isConnected() {
        return phase != Phase.CONNECTING;
    }

    /** Whether discovery may hold the call until a change. */
    boolean isHeld() {
        return holdSeconds != 0;
    }

    double durationSeconds() {
        return loop.now() - startedAt;
    }

    /** Returns the time left of a timeout that counts from the start of the call, in seconds. */
    double secondsLeft(double timeoutSeconds) {
        return startedAt + timeoutSeconds - loop.now();
    }

    /** Returns the phase and duration, for the log. */
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
