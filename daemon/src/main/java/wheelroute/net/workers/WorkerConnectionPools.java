package wheelroute.net.workers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;

/**
 * The connections to all workers on the endpoint list, one pool each, within a common limit. Only
 * for the event loop's thread.
 */
public final class WorkerConnectionPools {
    /**
     * An idle connection is closed at this fraction of the worker's own limit: a request that
     * crosses the worker's close may have run.
     */
    private static final double IDLE_LIMIT_FRACTION = 0.5;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final EventLoop loop;
    private final Counters counters;

    /** The limit of the whole dispatcher. */
    private final int dispatcherLimit;

    /** The limit of this process. */
    private int limit;

    private final long idleMillis;
    private final Map<Ids.Worker, WorkerConnectionPool> pools = new HashMap<>();

    /**
     * Pools of workers that have been listed as restarted or moved since {@link #onPolicyUpdated}.
     */
    private final List<WorkerConnectionPool> replaced = new ArrayList<>();

    private int open;

    /**
     * Begins without workers.
     *
     * @param limit on open connections
     * @param idleLimit after how many idle seconds workers close a connection
     */
    public WorkerConnectionPools(EventLoop loop, Counters counters, int limit, double idleLimit) {
        this.loop = loop;
        this.counters = counters;
        dispatcherLimit = limit;
        this.limit = limit;
        idleMillis = Math.max(1, (long) (IDLE_LIMIT_FRACTION * idleLimit * MILLIS_PER_SECOND));
    }

    /**
     * So many processes share the dispatcher's limit. Idle connections over it are evicted when
     * others are opened.
     */
    public void setProcessCount(int processes) {
        limit = dispatcherLimit / processes;
    }

    /**
     * A worker is listed, ready or draining. If it has been restarted or has moved it gets a new
     * pool.
     *
     * @param startedAt Unix time in seconds; NaN when it is unknown, or long ago
     */
    public void onListed(Ids.Worker worker, InetSocketAddress address, double startedAt) {
        WorkerConnectionPool pool = pools.get(worker);
        if (pool == null || !pool.matches(address, startedAt)) {
            pools.put(worker, new WorkerConnectionPool(loop, this, address, startedAt));
            if (pool != null) {
                replaced.add(pool);
            }
        }
    }

    /**
     * The policy knows the list now: attempts that wait for a connection to a worker that drains,
     * or has been replaced, end unsent. Earlier, the policy would choose the same worker again.
     */
    public void onPolicyUpdated(Iterable<Ids.Worker> draining) {
        for (Ids.Worker worker : draining) {
            WorkerConnectionPool pool = pools.get(worker);
            if (pool != null) {
                pool.endConnecting();
            }
        }
        new ArrayList<>(replaced).forEach(WorkerConnectionPool::retire);
        replaced.clear();
    }

    /** The worker has left the list: attempts in attempt may complete, nothing new is sent. */
    public void remove(Ids.Worker worker) {
        WorkerConnectionPool pool = pools.remove(worker);
        if (pool != null) {
            pool.retire();
        }
    }

    /**
     * Sends an attempt. It may end before this returns.
     *
     * @param deadline Unix time in seconds
     */
    public InFlightAttempt send(
            Ids.Worker worker, AttemptRequest message, double deadline, AttemptListener listener) {
        InFlightAttempt attempt = new InFlightAttempt(message, deadline, listener, counters);
        WorkerConnectionPool pool = pools.get(worker);
        if (pool == null) {
            attempt.end(AttemptResult.CONNECTION_REFUSED);
        } else {
            pool.send(attempt);
        }
        return attempt;
    }

    /** Whether one more connection may be opened; evicts an idle one if needed. */
    boolean mayOpen() {
        return open < limit
                || pools.values().stream().anyMatch(WorkerConnectionPool::evictOldestIdle);
    }

    void onConnecting() {
        open++;
        counters.count(Counters.Counter.WORKER_CONNECTIONS);
    }

    void onClosed() {
        open--;
    }

    long idleMillis() {
        return idleMillis;
    }

    /** How many connections are open, or being opened. */
    public int openConnections() {
        return open;
    }
}
