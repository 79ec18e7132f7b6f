package wheelroute.net.clients;

import wheelroute.net.loop.EventLoop;

/**
 * Limits the time that a client's message takes to arrive completely. This also limits how long a
 * client may be connected before it sends its first message. Used on the event loop's thread only.
 */
final class MessageTimeout {
    private static final double MESSAGE_TIMEOUT_SECONDS = 2.4;

    /** Time after the timeout for reading input that arrived while the process was paused. */
    private static final double UNREAD_GRACE_SECONDS = 0.2;

    private final EventLoop loop;
    private final Runnable onTimeout;

    /** The running timer; null until the first {@link #start}. */
    private EventLoop.Timer timer;

    MessageTimeout(EventLoop loop, Runnable onTimeout) {
        this.loop = loop;
        this.onTimeout = onTimeout;
    }

    /** Starts the timeout, when the connection is opened or a message's first byte arrives. */
    void start() {
        timer =
                loop.schedule(
                        MESSAGE_TIMEOUT_SECONDS,
                        () -> timer = loop.schedule(UNREAD_GRACE_SECONDS, onTimeout));
    }

    /** Cancels the timeout; does nothing if it was never started. */
    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
