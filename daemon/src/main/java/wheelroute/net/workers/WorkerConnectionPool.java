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

/** The connections to one worker. Only for the event loop's thread. */
final class WorkerConnectionPool {
    private final EventLoop loop;
    private final WorkerConnectionPools pools;
    private final InetSocketAddress address;

    /** Unix time in seconds; NaN when it is unknown, or long ago. */
    private final double startedAt;

    private final Set<WorkerConnection> open = new HashSet<>();

    /** The one used last comes last, and is used next: those that are not needed expire. */
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    /** Attempts that wait for a connection, in the order of their start. */
    private final Set<InFlightAttempt> connecting = new LinkedHashSet<>();

    /** The worker has left the list or been replaced: no connection is used again. */
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

    /** Whether this is the pool of a worker listed like this. */
    boolean matches(InetSocketAddress listed, double listedStart) {
        return address.equals(listed) && Double.compare(startedAt, listedStart) == 0;
    }

    /** For the Host field. */
    String host() {
        return SocketAddresses.format(address);
    }

    /** Sends the attempt on an idle connection, or opens one for it within the limit. */
    void send(InFlightAttempt attempt) {
        WorkerConnection idleConnection = takeIdle(attempt.message().atMostOnce());
        if (idleConnection != null) {
            idleConnection.send(attempt);
        } else if (pools.mayOpen()) {
            pools.onConnecting();
            connecting.add(attempt);
            loop.connect(address, new ConnectHandler(attempt));
        } else {
            attempt.end(AttemptResult.CONNECT_FAILED_LOCALLY);
        }
    }

    /**
     * Takes an idle connection that can be used, a quiescent one if there is one; null for none.
     * What must not run twice needs a quiescent or a new one: on another it might receive a second
     * response to the attempt before it.
     */
    private WorkerConnection takeIdle(boolean onlyQuiescent) {
        WorkerConnection active = null;
        // A copy: a connection that turns out to be unusable is removed as it is closed.
        Iterator<WorkerConnection> newestFirst = new ArrayDeque<>(idle).descendingIterator();
        while (newestFirst.hasNext()) {
            WorkerConnection next = newestFirst.next();
            boolean quiescent = next.isQuiescent();
            if (!quiescent && (onlyQuiescent || active != null)) {
                continue;
            }
            if (!next.isUsable()) {
                next.close();
            } else if (quiescent) {
                idle.remove(next);
                return next;
            } else {
                active = next;
            }
        }
        idle.remove(active);
        return active;
    }

    /** Opens a connection for one attempt. */
    private final class ConnectHandler implements EventLoop.ChannelHandler {
        private final InFlightAttempt attempt;

        ConnectHandler(InFlightAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            endPoint.setIdleTimeout(pools.idleMillis());
            WorkerConnection connection =
                    new WorkerConnection(endPoint, loop, WorkerConnectionPool.this);
            open.add(connection);
            loop.post(
                    () -> {
                        connecting.remove(attempt);
                        if (attempt.mayBeSent(loop.now())) {
                            connection.send(attempt);
                        } else {
                            // It ended while it was connecting.
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
     * What a failed connect proves: that the worker refused or was not reached, or else only that
     * this machine could not begin, for want of ports, buffers, descriptors or a route.
     */
    private static AttemptResult connectResult(Throwable cause) {
        if (cause instanceof SocketTimeoutException) {
            return AttemptResult.CONNECT_TIMEOUT;
        }
        boolean byTheWorker =
                cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return byTheWorker
                ? AttemptResult.CONNECTION_REFUSED
                : AttemptResult.CONNECT_FAILED_LOCALLY;
    }

    /** The connection can be used again. */
    void onIdle(WorkerConnection connection) {
        if (retired) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
    }

    /** Evicts the connection that has been idle longest; false for none. */
    boolean evictOldestIdle() {
        WorkerConnection oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** May be called more than once. */
    void onClosed(WorkerConnection connection) {
        if (open.remove(connection)) {
            idle.remove(connection);
            pools.onClosed();
        }
    }

    /**
     * The worker has left the list, or has been replaced by another process: attempts that were
     * sent may complete, but no connection is used again.
     */
    void retire() {
        retired = true;
        new ArrayList<>(idle).forEach(WorkerConnection::close);
        endConnecting();
    }

    /**
     * Ends all attempts without a connection unsent, so that the policy decides on them anew. A
     * worker that drains may accept requests for a shorter time than a connection takes to open.
     */
    void endConnecting() {
        for (InFlightAttempt attempt : new ArrayList<>(connecting)) {
            attempt.abort(AttemptResult.NOT_SENT);
        }
    }
}
