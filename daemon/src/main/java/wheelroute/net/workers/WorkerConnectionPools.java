package wheelroute.net.workers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.memory.ResponseMemory;
import wheelroute.net.metrics.Counters;
import wheelroute.units.TimeUnits;

/**
 * The connections to all workers of the endpoint list, with one pool for each worker and a common
 * limit. Used on the event loop's thread only.
 */
public final class WorkerConnectionPools {
    /**
     * Fraction of the workers' idle timeout after which this dispatcher closes an idle connection.
     * If the worker closed the connection while a request was being sent, the request would have to
     * count as possibly run.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private final EventLoop loop;
    private final Counters counters;
    private final ResponseMemory responseMemory;

    /** Maximum number of open connections of all processes of this dispatcher together. */
    private final int dispatcherLimit;

    /** Maximum number of open connections of this process. */
    private int limit;

    private final long idleTimeoutMillis;
    private final Map<Ids.Worker, WorkerConnectionPool> pools = new HashMap<>();

    /** Replaced pools, which {@link #onPolicyUpdated} closes. */
    private final List<WorkerConnectionPool> replaced = new ArrayList<>();

    /** Number of connections that are open or being opened. */
    private int openConnections;

    /**
     * Creates an instance without workers.
     *
     * @param responseMemory the memory for responses that arrive in parts
     * @param limit maximum number of open connections
     * @param workerIdleTimeoutSeconds time after which workers close an idle connection
     */
    public WorkerConnectionPools(
            EventLoop loop,
            Counters counters,
            ResponseMemory responseMemory,
            int limit,
            double workerIdleTimeoutSeconds) {
        this.loop = loop;
        this.counters = counters;
        this.responseMemory = responseMemory;
        dispatcherLimit = limit;
        this.limit = limit;
        double idleTimeoutSeconds = IDLE_TIMEOUT_FRACTION * workerIdleTimeoutSeconds;
        idleTimeoutMillis = Math.max(1, (long) (idleTimeoutSeconds * TimeUnits.MILLIS_PER_SECOND));
    }

    /**
     * Sets the number of processes that share the dispatcher's limit. Idle connections in excess of
     * the new limit of this process are closed only when other connections are to be opened.
     */
    public void setProcessCount(int processes) {
        limit = dispatcherLimit / processes;
    }

    /**
     * Adds a worker of the endpoint list, which may be ready or draining. Replaces the worker's
     * pool if the worker was restarted or has another address.
     *
     * @param startedAt Unix time in seconds; NaN if it is unknown or long ago
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
     * Aborts the attempts whose connections to draining or replaced workers are being opened.
     * Called when the policy has received the endpoint list, because the policy would otherwise
     * choose the same workers again.
     */
    public void onPolicyUpdated(Iterable<Ids.Worker> draining) {
        for (Ids.Worker worker : draining) {
            WorkerConnectionPool pool = pools.get(worker);
            if (pool != null) {
                pool.abortConnecting();
            }
        }
        new ArrayList<>(replaced).forEach(WorkerConnectionPool::retire);
        replaced.clear();
    }

    /** Removes a worker. Attempts in flight may complete, but no more are sent to the worker. */
    public void remove(Ids.Worker worker) {
        WorkerConnectionPool pool = pools.remove(worker);
        if (pool != null) {
            pool.retire();
        }
    }

    /**
     * Sends an attempt, which may end before this method returns.
     *
     * @param deadline Unix time in seconds at which the attempt must end
     * @param sendBefore Unix time in seconds until which it may be written
     */
    public InFlightAttempt send(
            Ids.Worker worker,
            AttemptRequest request,
            double deadline,
            double sendBefore,
            AttemptListener listener) {
        InFlightAttempt attempt =
                new InFlightAttempt(request, deadline, sendBefore, listener, counters);
        WorkerConnectionPool pool = pools.get(worker);
        if (pool == null) {
            attempt.end(AttemptResult.CONNECTION_REFUSED);
        } else {
            pool.send(attempt);
        }
        return attempt;
    }

    /**
     * Closes an idle connection if the limit is reached; returns whether one more may be opened.
     */
    boolean ensureBelowLimit() {
        return openConnections < limit
                || pools.values().stream().anyMatch(WorkerConnectionPool::evictOldestIdle);
    }

    /** Records that a connection is being opened. */
    void onConnecting() {
        openConnections++;
        counters.count(Counters.Counter.WORKER_CONNECTIONS);
    }

    /** Records that a connection was closed or could not be opened. */
    void onClosed() {
        openConnections--;
    }

    ResponseMemory responseMemory() {
        return responseMemory;
    }

    /** Returns the time after which this dispatcher closes an idle connection. */
    long idleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    /** Returns the number of connections that are open or being opened. */
    public int openConnections() {
        return openConnections;
    }
}
