package wheelroute.net.workers;

import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.config.ConfigReader;
import wheelroute.net.AttemptResult;
import wheelroute.net.EventLoop;

/** One worker's address and our connections to it. */
final class WorkerConnectionPool {
    private final EventLoop loop;
    private final WorkerConnectionPools workers;
    private final InetSocketAddress address;
    private final double startedAt;
    private final Set<WorkerConnection> open = new HashSet<>();

    /** The one used last is used next, so that those not needed grow old and expire. */
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    /** Those that wait for a connection. */
    private final Set<InFlightAttempt> boarding = new LinkedHashSet<>();

    private boolean left;

    WorkerConnectionPool(
            EventLoop loop,
            WorkerConnectionPools workers,
            InetSocketAddress address,
            double startedAt) {
        this.loop = loop;
        this.workers = workers;
        this.address = address;
        this.startedAt = startedAt;
    }

    boolean isStill(InetSocketAddress listed, double listedStart) {
        return address.equals(listed) && Double.compare(startedAt, listedStart) == 0;
    }

    String host() {
        return ConfigReader.text(address);
    }

    void send(InFlightAttempt flight) {
        WorkerConnection kept = kept(flight.message.atMostOnce());
        if (kept != null) {
            kept.send(flight);
        } else if (workers.mayOpen()) {
            workers.opening();
            boarding.add(flight);
            loop.connect(address, new ConnectHandler(flight));
        } else {
            flight.end(AttemptResult.NO_DESCRIPTOR);
        }
    }

    /**
     * An idle connection that can be used, a rested one if there is one; null for none. What must
     * not run twice goes on a rested or a new one: on another it might be told the end of the
     * launch before it.
     */
    private WorkerConnection kept(boolean onlyRested) {
        WorkerConnection unrested = null;
        // From the one used last on. One that turns out to be unusable takes itself out as it is
        // closed.
        Iterator<WorkerConnection> newestFirst = new ArrayDeque<>(idle).descendingIterator();
        while (newestFirst.hasNext()) {
            WorkerConnection next = newestFirst.next();
            boolean rested = next.isRested();
            if (!rested && (onlyRested || unrested != null)) {
                continue;
            }
            if (!next.isUsable()) {
                next.close();
            } else if (rested) {
                idle.remove(next);
                return next;
            } else {
                unrested = next;
            }
        }
        idle.remove(unrested);
        return unrested;
    }

    /** A connection that is being made for one launch. */
    private final class ConnectHandler implements EventLoop.ChannelHandler {
        private final InFlightAttempt flight;

        ConnectHandler(InFlightAttempt flight) {
            this.flight = flight;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            endPoint.setIdleTimeout(workers.idleMillis());
            WorkerConnection connection =
                    new WorkerConnection(endPoint, loop, WorkerConnectionPool.this);
            open.add(connection);
            loop.post(
                    () -> {
                        boarding.remove(flight);
                        if (flight.mayGo(loop.now())) {
                            connection.send(flight);
                        } else {
                            // Ended while it connected: nothing may go out for it any more.
                            connection.close();
                        }
                    });
            return connection;
        }

        @Override
        public void onFailed(Throwable cause) {
            workers.closed();
            boarding.remove(flight);
            flight.end(
                    cause instanceof SocketTimeoutException
                            ? AttemptResult.CONNECT_TIMEOUT
                            : AttemptResult.CONNECTION_REFUSED);
        }
    }

    void idle(WorkerConnection connection) {
        if (left) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
    }

    boolean closeOldestIdle() {
        WorkerConnection oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    void closed(WorkerConnection connection) {
        if (open.remove(connection)) {
            idle.remove(connection);
            workers.closed();
        }
    }

    /**
     * It has left the list, or is another process now: what is out may end, nothing is used again.
     */
    void leave() {
        left = true;
        new ArrayList<>(idle).forEach(WorkerConnection::close);
        withdraw();
    }

    /**
     * Nothing new may go out to it: what it was chosen for, and has no connection yet, is decided
     * on anew. The grace after the list's word may be less than what a connection takes to come up.
     */
    void withdraw() {
        for (InFlightAttempt flight : new ArrayList<>(boarding)) {
            flight.giveUp(AttemptResult.NOT_SENT);
        }
    }
}
