package wheelroute.net.lifecycle;

import wheelroute.net.loop.EventLoop;
import wheelroute.net.requests.RequestDispatcher;

/**
 * Ends a process after every accepted request has been answered. Requests that are still open at
 * the deadline are rejected, or failed if they may have run. The shutdown passes through the values
 * of {@link State} in their order, and leaves each state when its timer expires. Confined to the
 * event loop's thread.
 */
final class GracefulShutdown {
    /**
     * Time for which connections are still accepted, because clients may not know yet that the
     * process is ending.
     */
    private static final double ACCEPT_GRACE_SECONDS = 0.45;

    /**
     * Time for the open requests to be answered, unless the longest timeout of a client is shorter.
     */
    private static final double MAX_DRAIN_SECONDS = 3;

    /**
     * Time between the end of the drain time and the deadline. The platform kills the process 0.7 s
     * after the drain time, so that 0.2 s are left for ending the open requests and writing their
     * responses.
     */
    private static final double DRAIN_EXTENSION_SECONDS = 0.5;

    /** Interval between checks whether the last response has been sent. */
    private static final double POLL_INTERVAL_SECONDS = 0.02;

    /** Time for the last bytes to be sent, because connections break at the end of the process. */
    private static final double FLUSH_SECONDS = 0.08;

    private enum State {
        /** New connections are still accepted. */
        ACCEPTING,
        /** The process no longer listens, and regularly checks whether it is idle. */
        AWAITING_RESPONSES,
        /**
         * All requests have been answered and the last bytes are being sent. Requests that arrive
         * in this state are answered, too, and lead back to AWAITING_RESPONSES.
         */
        FLUSHING,
        /**
         * The deadline has passed, all requests have been ended and the last bytes are being sent.
         */
        FLUSHING_AT_DEADLINE,
        /** Nothing can be sent any more. */
        DONE
    }

    private final EventLoop loop;
    private final ServiceComponents components;
    private final Runnable onDone;

    /** The time at which open requests are ended, on the event loop's clock in seconds. */
    private final double deadline;

    private State state = State.ACCEPTING;

    /**
     * Creates a shutdown. The deadline counts from here, so {@link #begin} must follow at once.
     *
     * @param maxTimeoutSeconds the longest timeout that a client may request
     * @param onDone run once, when nothing can be sent any more
     */
    GracefulShutdown(
            EventLoop loop,
            ServiceComponents components,
            double maxTimeoutSeconds,
            Runnable onDone) {
        this.loop = loop;
        this.components = components;
        this.onDone = onDone;
        deadline =
                loop.now()
                        + Math.min(MAX_DRAIN_SECONDS, maxTimeoutSeconds)
                        + DRAIN_EXTENSION_SECONDS;
    }

    /**
     * Starts draining. If a successor process accepts clients, this process stops listening without
     * a grace period.
     */
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
                components.clients.readPendingOrClose();
                finish();
            }
            case DONE -> throw new AssertionError("unexpected timer in state " + state);
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
            // The last read may accept a request, after which the process is no longer idle.
            components.clients.readPendingOrClose();
        }
        if (isIdle()) {
            finish();
        } else {
            awaitResponses();
        }
    }

    private void finish() {
        state = State.DONE;
        onDone.run();
    }

    /**
     * Returns whether no request is pending and no client is expected to send one. The process also
     * waits until all client connections are closed if connections stay open after a response, or
     * if there is a successor, which serves clients meanwhile.
     */
    private boolean isIdle() {
        RequestDispatcher dispatcher = components.dispatcher;
        boolean mustWaitForClients = !dispatcher.closesAfterResponse() || dispatcher.hasSuccessor();
        return dispatcher.pendingRequests() == 0
                && !components.clients.expectsRequest()
                && (!mustWaitForClients || components.clients.openConnections() == 0);
    }
}
