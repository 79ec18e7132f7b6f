package wheelroute.net.lifecycle;

import wheelroute.net.loop.EventLoop;
import wheelroute.net.requests.RequestDispatcher;

/**
 * Ends one process after every accepted request has been answered. Requests that are still open at
 * the deadline are rejected, or failed if they may have run. The states of the shutdown are those
 * of {@link State}, in that order; each is left when its timer expires. Only for the event loop's
 * thread.
 */
final class GracefulShutdown {
    /** Clients may not know yet that the process is ending, so connections are still accepted. */
    private static final double ACCEPT_GRACE_SECONDS = 0.45;

    /** Time for the requests that are open, unless the longest timeout of a client is shorter. */
    private static final double MAX_DRAIN_SECONDS = 3;

    /**
     * Added to that time: the platform kills the process 0.7 s after it, of which 0.2 s are left
     * for ending the open requests and writing their responses.
     */
    private static final double OVERTIME_SECONDS = 0.5;

    /** How often it is checked whether the last response has been sent. */
    private static final double POLL_INTERVAL_SECONDS = 0.02;

    /** Time for the last bytes to be sent: the end of the process breaks its connections. */
    private static final double FLUSH_SECONDS = 0.08;

    private enum State {
        /** New connections are still accepted. */
        ACCEPTING,
        /** The process no longer listens, and checks regularly whether it is idle. */
        AWAITING_RESPONSES,
        /**
         * All is answered and the last bytes are being sent. What arrives meanwhile is answered,
         * too, which leads back to AWAITING_RESPONSES.
         */
        FLUSHING,
        /** The deadline has passed, all requests were ended and the last bytes are being sent. */
        FLUSHING_AT_DEADLINE,
        /** Nothing more can be sent. */
        DONE
    }

    private final EventLoop loop;
    private final ServiceComponents components;
    private final Runnable whenDone;

    /** On the event loop's clock, in seconds; requests still open then are ended. */
    private final double deadline;

    private State state = State.ACCEPTING;

    /**
     * Creates a shutdown whose time is already running; {@link #begin} must follow at once.
     *
     * @param maxTimeoutSeconds the longest timeout that a client is granted
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
        deadline = loop.now() + Math.min(MAX_DRAIN_SECONDS, maxTimeoutSeconds) + OVERTIME_SECONDS;
    }

    /** Starts draining. A successor process accepts new connections at once, if there is one. */
    void begin() {
        components.dispatcher.startDraining(deadline);
        enter(State.ACCEPTING, components.dispatcher.hasSuccessor() ? 0 : ACCEPT_GRACE_SECONDS);
    }

    private void enter(State next, double timerSeconds) {
        state = next;
        loop.schedule(timerSeconds, this::onTimer);
    }

    private void onTimer() {
        switch (state) {
            case ACCEPTING -> {
                components.clients.stopListening();
                awaitResponses();
            }
            case AWAITING_RESPONSES -> awaitResponses();
            case FLUSHING -> finishIfIdle();
            case FLUSHING_AT_DEADLINE -> {
                components.clients.readLastAndClose();
                finish();
            }
            case DONE -> throw new AssertionError("no timer runs in state " + state);
        }
    }

    private void awaitResponses() {
        if (loop.now() >= deadline) {
            components.dispatcher.endAllRequests();
            enter(State.FLUSHING_AT_DEADLINE, FLUSH_SECONDS);
        } else if (isIdle()) {
            enter(State.FLUSHING, FLUSH_SECONDS);
        } else {
            enter(State.AWAITING_RESPONSES, POLL_INTERVAL_SECONDS);
        }
    }

    private void finishIfIdle() {
        if (isIdle()) {
            // May accept a request, after which the process is no longer idle.
            components.clients.readLastAndClose();
        }
        if (isIdle()) {
            finish();
        } else {
            awaitResponses();
        }
    }

    private void finish() {
        state = State.DONE;
        whenDone.run();
    }

    /**
     * Whether no request is pending, and no client is expected to send one. Connections that stay
     * open for further requests are waited for; so are all with a successor, which is then in use.
     */
    private boolean isIdle() {
        RequestDispatcher dispatcher = components.dispatcher;
        boolean mustWaitForClients = !dispatcher.closesAfterResponse() || dispatcher.hasSuccessor();
        return dispatcher.pendingRequests() == 0
                && !components.clients.expectsRequest()
                && (!mustWaitForClients || components.clients.openConnections() == 0);
    }
}
