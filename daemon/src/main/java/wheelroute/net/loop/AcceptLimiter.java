package wheelroute.net.loop;

import java.nio.channels.SelectableChannel;

/**
 * Limits how many connections are accepted on one socket in a pass of the selector; the others wait
 * in the system's queue. A connection occupies a file descriptor as soon as it is accepted, while
 * the connection that is evicted for it releases its descriptor only in the next pass. Only for the
 * event loop's thread.
 */
final class AcceptLimiter {
    /** The maximum number of connections accepted on one socket in a pass. */
    static final int MAX_ACCEPTS = 4;

    /** The length of the system's queue, so that it refuses no connection of a burst of clients. */
    static final int BACKLOG = 512;

    /** The socket on which connections are being accepted; null at the start of a pass. */
    private SelectableChannel current;

    /** Connections accepted on the current socket in this pass. */
    private int accepted;

    /** Whether the limit was reached in this pass, so that connections may be waiting. */
    private boolean leftWaiting;

    /** Connections accepted in the consecutive passes in which the limit was reached. */
    private int acceptedWhileWaiting;

    /** Whether one more connection may be accepted on this socket in this pass. */
    boolean mayAccept(SelectableChannel server) {
        if (server != current) {
            current = server;
            accepted = 0;
        }
        leftWaiting |= accepted == MAX_ACCEPTS;
        return accepted < MAX_ACCEPTS;
    }

    void onAccepted() {
        accepted++;
        acceptedWhileWaiting++;
    }

    /**
     * Ends a pass. Returns whether connections from before it may still be waiting: once as many
     * have been accepted as the queue can hold, those still waiting arrived later.
     */
    boolean endPass() {
        boolean olderAreWaiting = leftWaiting && acceptedWhileWaiting < BACKLOG;
        if (!olderAreWaiting) {
            acceptedWhileWaiting = 0;
        }
        current = null;
        leftWaiting = false;
        return olderAreWaiting;
    }
}
