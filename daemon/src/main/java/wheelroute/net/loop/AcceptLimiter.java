package wheelroute.net.loop;

import java.nio.channels.SelectableChannel;

/**
 * Limits how many connections are accepted on one socket in a pass of the selector. Each has a
 * descriptor before anybody can decide which connection to evict for it, and an evicted one keeps
 * its own until the next pass. The others wait in the system's queue.
 */
final class AcceptLimiter {
    /** Connections accepted on one socket in a pass. */
    static final int MAX_ACCEPTS = 4;

    /** Connections waiting to be accepted: a burst of clients must not be refused by the kernel. */
    static final int BACKLOG = 512;

    /** The socket that was last accepted on in this pass, and how often. */
    private SelectableChannel current;

    private int accepted;

    /** Whether connections were left waiting in this pass. */
    private boolean leftWaiting;

    /** Accepted since passes have been leaving connections waiting. */
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
     * Ends the pass; returns whether connections that had come before it may still wait. When as
     * many have been accepted as the queue holds, those that wait came later.
     */
    boolean endPass() {
        boolean olderWait = leftWaiting && acceptedWhileWaiting < BACKLOG;
        if (!olderWait) {
            acceptedWhileWaiting = 0;
        }
        current = null;
        leftWaiting = false;
        return olderWait;
    }
}
