package wheelroute.net.workers;

import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.End;
import wheelroute.net.Loop;

/** One worker's address and our connections to it. */
final class Station {
    private final Loop loop;
    private final Workers workers;
    private final InetSocketAddress address;
    private final Set<WorkerConnection> open = new HashSet<>();
    /** The one used last is used next, so that those not needed grow old and expire. */
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    Station(Loop loop, Workers workers, InetSocketAddress address) {
        this.loop = loop;
        this.workers = workers;
        this.address = address;
    }

    InetSocketAddress address() {
        return address;
    }

    String host() {
        return address.getHostString() + ":" + address.getPort();
    }

    void send(Flight flight) {
        for (WorkerConnection next = idle.pollLast(); next != null; next = idle.pollLast()) {
            if (next.isUsable()) {
                next.send(flight);
                return;
            }
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
        idle.addLast(connection);
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

    void closeIdle() {
        new ArrayList<>(idle).forEach(WorkerConnection::close);
    }
}
