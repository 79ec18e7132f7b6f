package wheelroute.net.workers;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.config.SocketAddresses;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.memory.ResponseMemory;

/** The connections to one worker. Used on the event loop's thread only. */
final class WorkerConnectionPool {
    private final EventLoop loop;
    private final WorkerConnectionPools pools;
    private final InetSocketAddress address;

    /** When the worker started, as Unix time in seconds; NaN if it is unknown or long ago. */
    private final double startedAt;

    private final Set<WorkerConnection> open = new HashSet<>();

    /**
     * Idle connections, the most recently used one last. That one is used next, so that the others
     * can expire.
     */
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    /** Attempts whose connections are being opened, in the order in which they were started. */
    private final Set<InFlightAttempt> connecting = new LinkedHashSet<>();

    /** Whether the worker was removed or replaced, so that no connection may be used again. */
    private boolean retired;

    WorkerConnectionPool(
            EventLoop loop,
            WorkerConnectionPools pools,
            InetSocketAddress address,
            double startedAt) {
        this.loop = loop;
        this.pools = pools;
        this.address = address;
        this.startedAt = startedAt;
    }

    /** Whether this is the pool of a worker with this address and start time. */
    boolean matches(InetSocketAddress listed, double listedStart) {
        return address.equals(listed) && Double.compare(startedAt, listedStart) == 0;
    }

    /** Returns the memory for responses that arrive in parts. */
    ResponseMemory responseMemory() {
        return pools.responseMemory();
    }

    /** Returns the value of the header field Host. */
    String host() {
        return SocketAddresses.format(address);
    }

    /** Sends an attempt on an idle connection, or on a new one if the limit permits it. */
    void send(InFlightAttempt attempt) {
        WorkerConnection idleConnection = takeIdle(attempt.request().atMostOnce());
        if (idleConnection != null) {
            idleConnection.send(attempt);
        } else if (pools.ensureBelowLimit()) {
            pools.onConnecting();
            connecting.add(attempt);
            loop.connect(address, new ConnectHandler(attempt));
        } else {
            attempt.end(AttemptResult.CONNECT_FAILED_LOCALLY);
        }
    }

    /**
     * Removes and returns a usable idle connection, preferably a quiescent one; null if there is
     * none.
     *
     * @param onlyQuiescent whether only quiescent connections are usable, as for an attempt that
     *     must not run twice: on another connection, the attempt could receive a second response to
     *     the previous attempt
     */
    private WorkerConnection takeIdle(boolean onlyQuiescent) {
        WorkerConnection fallback = null;
        // The iteration is over a copy, because closing an unusable connection removes it.
        Iterator<WorkerConnection> newestFirst = new ArrayDeque<>(idle).descendingIterator();
        while (newestFirst.hasNext()) {
            WorkerConnection next = newestFirst.next();
            boolean isQuiescent = next.isQuiescent();
            if (!isQuiescent && (onlyQuiescent || fallback != null)) {
                continue;
            }
            if (!next.isUsable()) {
                next.close();
            } else if (isQuiescent) {
                idle.remove(next);
                return next;
            } else {
                fallback = next;
            }
        }
        idle.remove(fallback);
        return fallback;
    }

    /** Sends an attempt once its connection has been opened; ends the attempt if that fails. */
    private final class ConnectHandler implements EventLoop.ChannelHandler {
        private final InFlightAttempt attempt;

        ConnectHandler(InFlightAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            endPoint.setIdleTimeout(pools.idleTimeoutMillis());
            WorkerConnection connection =
                    new WorkerConnection(endPoint, loop, WorkerConnectionPool.this);
            open.add(connection);
            loop.post(
                    () -> {
                        connecting.remove(attempt);
                        if (attempt.mayBeSent(loop.now())) {
                            connection.send(attempt);
                        } else {
                            // The attempt ended while it was connecting.
                            connection.close();
                        }
                    });
            return connection;
        }

        @Override
        public void onFailed(Throwable cause) {
            pools.onClosed();
            connecting.remove(attempt);
            attempt.end(connectResult(cause));
        }
    }

    /**
     * Returns the result of a failed connect, which depends on whether the worker refused the
     * connection or was unreachable, or this machine had no port, buffer, file descriptor or route
     * for the connection.
     */
    private static AttemptResult connectResult(Throwable cause) {
        if (cause instanceof SocketTimeoutException) {
            return AttemptResult.CONNECT_TIMEOUT;
        }
        boolean isWorkerFailure =
                cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return isWorkerFailure
                ? AttemptResult.CONNECTION_REFUSED
                : AttemptResult.CONNECT_FAILED_LOCALLY;
    }

    /** Makes a connection available for the next attempt. */
    void onIdle(WorkerConnection connection) {
        if (retired) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
    }

    /** Closes the connection that was idle longest, and returns whether there was one. */
    boolean evictOldestIdle() {
        WorkerConnection oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** Removes a connection. May be called more than once. */
    void onClosed(WorkerConnection connection) {
        if (open.remove(connection)) {
            idle.remove(connection);
            pools.onClosed();
        }
    }

    /**
     * Closes the pool after its worker was removed or replaced by another process. Attempts that
     * have been sent may complete, but no connection is used again.
     */
    void retire() {
        retired = true;
        new ArrayList<>(idle).forEach(WorkerConnection::close);
        abortConnecting();
    }

    /**
     * Aborts all attempts whose connections are being opened, so that the policy decides again on
     * their requests. A draining worker may stop accepting requests before the connections are
     * open.
     */
    void abortConnecting() {
        for (InFlightAttempt attempt : new ArrayList<>(connecting)) {
            attempt.abort(AttemptResult.NOT_SENT);
        }
    }
}
