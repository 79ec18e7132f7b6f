package wheelroute.net.lifecycle;

import wheelroute.net.loop.EventLoop;
import wheelroute.net.requests.RequestDispatcher;

/**
 * Ends one process without losing a request that it has accepted: first it stops listening, then it
 * waits until all is answered, or the time is up, and at last it reads what has come meanwhile.
 * Only for the event loop's thread.
 */
final class GracefulShutdown {
    /** New connections go on coming for this long after the signal to end, in seconds. */
    private static final double LISTEN_GRACE = 0.45;

    /**
     * The process is killed 0.7 s after this many seconds, or after the longest timeout that a
     * client is granted if that is shorter.
     */
    private static final double MAX_DRAIN = 3;

    /** Of that 0.7 s this much is used: the rest is for a busy core to write the last responses. */
    private static final double OVERTIME = 0.5;

    /** How often it is checked whether the last response has been sent, in seconds. */
    private static final double POLL_INTERVAL = 0.02;

    /** Seconds for the last bytes to leave: the process's end breaks its connections. */
    private static final double FLUSH_TIME = 0.08;

    private final EventLoop loop;
    private final ServiceComponents components;
    private final Runnable whenDone;

    /** Unix time in seconds at which what is still in flight is given up. */
    private final double end;

    /**
     * Prepares a shutdown; {@link #begin} has to follow at once.
     *
     * @param maxTimeoutSeconds the longest timeout that a client is granted, in seconds
     * @param whenDone run once, when nothing more can be sent
     */
    GracefulShutdown(
            EventLoop loop,
            ServiceComponents components,
            double maxTimeoutSeconds,
            Runnable whenDone) {
        this.loop = loop;
        this.components = components;
        this.whenDone = whenDone;
        end = loop.now() + Math.min(MAX_DRAIN, maxTimeoutSeconds) + OVERTIME;
    }

    /** Drains; new connections are still accepted for a while, unless a successor does that. */
    void begin() {
        components.dispatcher.drain(end);
        loop.schedule(components.dispatcher.hasSuccessor() ? 0 : LISTEN_GRACE, this::stopListening);
    }

    private void stopListening() {
        components.clients.stopListening();
        poll();
    }

    private void poll() {
        if (loop.now() >= end) {
            components.dispatcher.giveUpAll();
            loop.schedule(FLUSH_TIME, this::finish);
        } else if (isQuiet()) {
            loop.schedule(FLUSH_TIME, this::finishIfQuiet);
        } else {
            loop.schedule(POLL_INTERVAL, this::poll);
        }
    }

    /** What is handed over while the last bytes leave is answered, too. */
    private void finishIfQuiet() {
        if (isQuiet()) {
            components.clients.readLastAndClose();
        }
        if (isQuiet()) {
            whenDone.run();
        } else {
            poll();
        }
    }

    private void finish() {
        components.clients.readLastAndClose();
        whenDone.run();
    }

    /** Whether nothing is unanswered, and no client is about to send more. */
    private boolean isQuiet() {
        RequestDispatcher dispatcher = components.dispatcher;
        boolean mustWaitForClients = !dispatcher.closesAfterResponse() || dispatcher.hasSuccessor();
        return dispatcher.unanswered() == 0
                && !components.clients.expectsRequest()
                && (!mustWaitForClients || components.clients.openConnections() == 0);
    }
}
