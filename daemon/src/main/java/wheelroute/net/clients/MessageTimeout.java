package wheelroute.net.clients;

import wheelroute.net.loop.EventLoop;

/**
 * Limits the time for a client's message to be complete, and so the time for which a client may be
 * connected without sending anything. Used on the event loop's thread only.
 */
final class MessageTimeout {
    private static final double MESSAGE_TIMEOUT_SECONDS = 2.4;

    /** Added to read what has arrived by then, in case the process itself was paused. */
    private static final double UNREAD_GRACE_SECONDS = 0.2;

    private final EventLoop loop;
    private final Runnable onTimeout;

    /** Null until the first start. */
    private EventLoop.Timer timer;

    MessageTimeout(EventLoop loop, Runnable onTimeout) {
        this.loop = loop;
        this.onTimeout = onTimeout;
    }

    /** Starts the time for a message: at the opening of the connection, or at its first byte. */
    void start() {
        timer =
                loop.schedule(
                        MESSAGE_TIMEOUT_SECONDS,
                        () -> timer = loop.schedule(UNREAD_GRACE_SECONDS, onTimeout));
    }

    /** Cancels the timeout, if it was started. */
    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
