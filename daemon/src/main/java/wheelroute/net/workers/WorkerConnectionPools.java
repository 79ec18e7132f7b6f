package wheelroute.net.workers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.net.AttemptResult;
import wheelroute.net.Counters;
import wheelroute.net.EventLoop;

/**
 * The worker side: an address for each worker on the list, and a bound on the connections to all of
 * them.
 */
public final class WorkerConnectionPools {
    /**
     * A connection is dropped at this part of the worker's own limit: what crosses that may have
     * run.
     */
    private static final double PART_OF_IDLE = 0.5;

    private static final double MILLIS = 1e3;

    private final EventLoop loop;
    private final Counters counters;
    private final int mostAlone;
    private int most;
    private final long idleMillis;
    private final Map<Ids.Worker, WorkerConnectionPool> stations = new HashMap<>();

    /** Those of workers that were listed as started anew, or elsewhere, since the last settling. */
    private final List<WorkerConnectionPool> replaced = new ArrayList<>();

    private int open;

    public WorkerConnectionPools(EventLoop loop, Counters counters, int most, double idleLimit) {
        this.loop = loop;
        this.counters = counters;
        mostAlone = most;
        this.most = most;
        idleMillis = Math.max(1, (long) (PART_OF_IDLE * idleLimit * MILLIS));
    }

    /**
     * So many processes share the bound; idle connections over it make room as others are opened.
     */
    public void sharedBy(int processes) {
        most = mostAlone / processes;
    }

    /**
     * A worker as listed, NaN for one up long since; connections from before a restart are left.
     */
    public void listed(Ids.Worker worker, InetSocketAddress address, double startedAt) {
        WorkerConnectionPool station = stations.get(worker);
        if (station == null || !station.isStill(address, startedAt)) {
            stations.put(worker, new WorkerConnectionPool(loop, this, address, startedAt));
            if (station != null) {
                replaced.add(station);
            }
        }
    }

    /**
     * The decisions know the list: what still waits for a connection to a worker that drains, or
     * that is another process now, is decided on anew. Before, it would be sent there again.
     */
    public void settle(Iterable<Ids.Worker> draining) {
        for (Ids.Worker worker : draining) {
            WorkerConnectionPool station = stations.get(worker);
            if (station != null) {
                station.withdraw();
            }
        }
        new ArrayList<>(replaced).forEach(WorkerConnectionPool::leave);
        replaced.clear();
    }

    public void gone(Ids.Worker worker) {
        WorkerConnectionPool station = stations.remove(worker);
        if (station != null) {
            station.leave();
        }
    }

    /** Sends a launch; its end may be told before this returns. */
    public InFlightAttempt send(
            Ids.Worker worker,
            AttemptRequest message,
            double outerLimit,
            AttemptListener launches) {
        InFlightAttempt flight = new InFlightAttempt(message, outerLimit, launches, counters);
        WorkerConnectionPool station = stations.get(worker);
        if (station == null) {
            flight.end(AttemptResult.CONNECTION_REFUSED);
        } else {
            station.send(flight);
        }
        return flight;
    }

    boolean mayOpen() {
        return open < most
                || stations.values().stream().anyMatch(WorkerConnectionPool::closeOldestIdle);
    }

    void opening() {
        open++;
        counters.count(Counters.Counter.WORKER_CONNECTIONS);
    }

    void closed() {
        open--;
    }

    long idleMillis() {
        return idleMillis;
    }

    public int open() {
        return open;
    }
}
