package wheelroute.net.loop;

import java.nio.channels.SelectableChannel;

/**
 * Limits the number of connections accepted on one listening socket in one selector pass; the
 * others stay in the operating system's accept queue. The limit bounds the use of file descriptors:
 * a connection occupies one as soon as it is accepted, while a connection that is evicted to make
 * room releases its descriptor only in the next pass. Used on the event loop's thread only.
 */
final class AcceptLimiter {
    /** The maximum number of connections accepted on one listening socket in one selector pass. */
    static final int MAX_ACCEPTS_PER_PASS = 4;

    /** Length of the accept queue; long enough to refuse no connection of a burst of clients. */
    static final int BACKLOG = 512;

    /**
     * The listening socket on which connections are being accepted; null at the start of a pass.
     */
    private SelectableChannel currentServer;

    /** Number of connections accepted on the current listening socket in this pass. */
    private int acceptedInPass;

    /** Whether the limit was reached in this pass, so that connections may still be queued. */
    private boolean limitReached;

    /** Number of connections accepted in the consecutive passes that reached the limit. */
    private int acceptedInLimitedPasses;

    /** Whether one more connection may be accepted on this listening socket in this pass. */
    boolean mayAccept(SelectableChannel server) {
        if (server != currentServer) {
            currentServer = server;
            acceptedInPass = 0;
        }
        limitReached |= acceptedInPass == MAX_ACCEPTS_PER_PASS;
        return acceptedInPass < MAX_ACCEPTS_PER_PASS;
    }

    void onAccepted() {
        acceptedInPass++;
        acceptedInLimitedPasses++;
    }

    /**
     * Ends a selector pass. Returns whether connections that arrived before the pass may still be
     * queued. Once as many connections have been accepted as the queue can hold, the connections
     * still queued arrived later.
     */
    boolean endPass() {
        boolean earlierMayBeQueued = limitReached && acceptedInLimitedPasses < BACKLOG;
        if (!earlierMayBeQueued) {
            acceptedInLimitedPasses = 0;
        }
        currentServer = null;
        limitReached = false;
        return earlierMayBeQueued;
    }
}
