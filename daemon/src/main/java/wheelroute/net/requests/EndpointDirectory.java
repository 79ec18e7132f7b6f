package wheelroute.net.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.discovery.EndpointWatch;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * The workers on the endpoint list. Maps the names that discovery uses to the ids that the policy
 * uses, and opens and closes the connection pools of the workers when the list changes. Used on the
 * event loop's thread only.
 */
final class EndpointDirectory {
    private final WorkerConnectionPools pools;
    private final StartTimes startTimes;
    private final Map<String, ListedWorker> listedWorkers = new HashMap<>();
    private long lastWorkerId;
    private long version = EndpointWatch.NO_VERSION;

    /**
     * A worker on the list, with its latest entry.
     *
     * @param startedAt the start time of the worker on the event loop's clock, in seconds; NaN if
     *     unknown or long ago
     */
    private record ListedWorker(Ids.Worker worker, EndpointList.Entry entry, double startedAt) {}

    /**
     * The effect of a list, or of changes to it.
     *
     * @param endpoints the entries converted for the policy, in the order of the list
     * @param draining the workers that are draining
     * @param removed the workers that are no longer on the list, by the name from discovery
     */
    record Update(
            List<Endpoint> endpoints, List<Ids.Worker> draining, Map<String, Ids.Worker> removed) {}

    EndpointDirectory(WorkerConnectionPools pools, StartTimes startTimes) {
        this.pools = pools;
        this.startTimes = startTimes;
    }

    /**
     * Applies a complete list or changes to the list. The caller must pass the endpoints of the
     * update to the policy, and then the update to {@link #releaseObsolete}.
     */
    Update apply(EndpointList list) {
        Update update = new Update(new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        if (list.complete()) {
            // The workers that the list contains are taken out again by apply(entry, update).
            listedWorkers.forEach((name, listed) -> update.removed.put(name, listed.worker));
        }
        version = list.version();
        startTimes.observeWallClock();
        for (EndpointList.Entry entry : list.entries()) {
            apply(entry, update);
        }
        return update;
    }

    private void apply(EndpointList.Entry entry, Update update) {
        ListedWorker known = listedWorkers.get(entry.id());
        Ids.Worker worker = known != null ? known.worker : new Ids.Worker(++lastWorkerId);
        double startedAt = startedAt(entry, known);
        listedWorkers.put(entry.id(), new ListedWorker(worker, entry, startedAt));
        if (entry.state() == Endpoint.State.REMOVED) {
            update.removed.put(entry.id(), worker);
        } else {
            update.removed.remove(entry.id());
            pools.onListed(worker, entry.address(), entry.startedAt());
            if (entry.state() == Endpoint.State.DRAINING) {
                update.draining.add(worker);
            }
        }
        update.endpoints.add(endpoint(worker, entry, startedAt));
    }

    /**
     * Returns the start time of a worker on the event loop's clock. A start time that was already
     * converted is not converted again, because the wall clock may have been stepped since.
     */
    private double startedAt(EndpointList.Entry entry, ListedWorker known) {
        boolean sameStart =
                known != null && Double.compare(known.entry.startedAt(), entry.startedAt()) == 0;
        return sameStart ? known.startedAt : startTimes.toLoopTime(entry.startedAt());
    }

    private static Endpoint endpoint(
            Ids.Worker worker, EndpointList.Entry entry, double startedAt) {
        return new Endpoint(
                worker,
                new Ids.Model(entry.model()),
                entry.weight(),
                new Ids.Zone(entry.zone()),
                startedAt,
                new Ids.Cell(entry.cell()),
                entry.state());
    }

    /** Releases the connections and names that an update has made obsolete. */
    void releaseObsolete(Update update) {
        pools.onPolicyUpdated(update.draining);
        update.removed.forEach(
                (name, worker) -> {
                    pools.remove(worker);
                    // Old names are not kept, because each new release of the workers has new
                    // names. A name that is listed again later is treated as a new worker.
                    listedWorkers.remove(name);
                });
    }

    int size() {
        return listedWorkers.size();
    }

    /** Returns the version of the last list, or {@link EndpointWatch#NO_VERSION} before it. */
    long version() {
        return version;
    }

    /** Returns the latest entries of all workers, or null before the first list. */
    EndpointList snapshot() {
        if (version == EndpointWatch.NO_VERSION) {
            return null;
        }
        return new EndpointList(
                version, true, listedWorkers.values().stream().map(ListedWorker::entry).toList());
    }

    /** Returns the worker with a name from discovery, or null if the name is not listed. */
    Ids.Worker worker(String name) {
        ListedWorker listed = listedWorkers.get(name);
        return listed == null ? null : listed.worker;
    }

    /** Returns a copy of the names from discovery, by worker. */
    Map<Ids.Worker, String> names() {
        Map<Ids.Worker, String> names = new HashMap<>();
        listedWorkers.forEach((name, listed) -> names.put(listed.worker, name));
        return names;
    }
}
