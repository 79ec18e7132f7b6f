package wheelroute.net.clients;

import wheelroute.net.loop.EventLoop;

/**
 * Schedules the checks of a connection for the end of its stream, while there is no room for its
 * input. The input is then read and discarded only so often, because a client that sends at full
 * speed would otherwise keep the event loop's thread busy.
 *
 * <p>Used on the event loop's thread only.
 */
final class EndOfStreamPoll {
    /** Half of the time after which no attempt may be started for a client that has left. */
    private static final double INTERVAL_SECONDS = 0.05;

    private final EventLoop loop;
    private final Runnable check;
    private boolean isScheduled;

    /**
     * Creates a poll that is not scheduled.
     *
     * @param check run after an interval; may schedule the next one
     */
    EndOfStreamPoll(EventLoop loop, Runnable check) {
        this.loop = loop;
        this.check = check;
    }

    /** Schedules the next check, unless one is scheduled already. */
    void schedule() {
        if (!isScheduled) {
            isScheduled = true;
            loop.schedule(INTERVAL_SECONDS, this::run);
        }
    }

    private void run() {
        isScheduled = false;
        check.run();
    }
}
