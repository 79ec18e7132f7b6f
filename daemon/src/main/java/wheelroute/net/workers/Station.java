package wheelroute.net.workers;

import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.config.ConfigReader;
import wheelroute.net.End;
import wheelroute.net.Loop;

/** One worker's address and our connections to it. */
final class Station {
    private final Loop loop;
    private final Workers workers;
    private final InetSocketAddress address;
    private final double startedAt;
    private final Set<WorkerConnection> open = new HashSet<>();
    /** The one used last is used next, so that those not needed grow old and expire. */
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();
    private boolean left;

    Station(Loop loop, Workers workers, InetSocketAddress address, double startedAt) {
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

    void send(Flight flight) {
        for (WorkerConnection next = idle.pollLast(); next != null; next = idle.pollLast()) {
            if (next.isUsable()) {
                next.send(flight);
                return;
            }
            next.close();
        }
        if (workers.mayOpen()) {
            workers.opening();
            loop.connect(address, new Boarding(flight));
        } else {
            flight.end(End.NO_ROOM);
        }
    }

    /** A connection that is being made for one launch. */
    private final class Boarding implements Loop.Peer {
        private final Flight flight;

        Boarding(Flight flight) {
            this.flight = flight;
        }

        @Override
        public Connection opened(EndPoint endPoint) {
            endPoint.setIdleTimeout(workers.idleMillis());
            WorkerConnection connection = new WorkerConnection(endPoint, loop, Station.this);
            open.add(connection);
            loop.post(() -> {
                if (flight.hasEnded()) {
                    // Ended while it connected: nothing may go out for it any more.
                    connection.close();
                } else {
                    connection.send(flight);
                }
            });
            return connection;
        }

        @Override
        public void failed(Throwable cause) {
            workers.closed();
            flight.end(cause instanceof SocketTimeoutException ? End.NEVER_UP : End.REFUSED);
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

    /** It has left the list, or is another process now: what is out may end, nothing is used again. */
    void leave() {
        left = true;
        new ArrayList<>(idle).forEach(WorkerConnection::close);
    }
}
