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
 * The workers on the endpoint list. Maps discovery's names to the ids that the policy uses, and
 * opens and closes the workers' connection pools as the list changes. Only for the event loop's
 * thread.
 */
final class EndpointDirectory {
    private final WorkerConnectionPools pools;
    private final StartTimes startTimes;
    private final Map<String, Member> members = new HashMap<>();
    private long lastWorkerId;
    private long version = EndpointWatch.NO_VERSION;

    /**
     * A worker on the list, with its latest entry.
     *
     * @param startedAt on the event loop's clock, in seconds; NaN if unknown
     */
    private record Member(Ids.Worker worker, EndpointList.Entry entry, double startedAt) {}

    /**
     * The effect of a list, or of changes to it.
     *
     * @param endpoints the entries in the policy's terms, in the list's order
     * @param draining the workers that are draining
     * @param removed the workers that are no longer on the list, by name
     */
    record Update(
            List<Endpoint> endpoints, List<Ids.Worker> draining, Map<String, Ids.Worker> removed) {}

    EndpointDirectory(WorkerConnectionPools pools, StartTimes startTimes) {
        this.pools = pools;
        this.startTimes = startTimes;
    }

    /**
     * Applies a list or its changes. Once the policy has been given the update's endpoints, the
     * caller must pass the update to {@link #releaseObsolete}.
     */
    Update apply(EndpointList list) {
        Update update = new Update(new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        if (list.complete()) {
            // Those that the list contains are taken out again below.
            members.forEach((name, member) -> update.removed.put(name, member.worker));
        }
        version = list.version();
        startTimes.observeWallClock();
        for (EndpointList.Entry entry : list.entries()) {
            apply(entry, update);
        }
        return update;
    }

    private void apply(EndpointList.Entry entry, Update update) {
        Member known = members.get(entry.id());
        Ids.Worker worker = known != null ? known.worker : new Ids.Worker(++lastWorkerId);
        double startedAt = startedAt(entry, known);
        members.put(entry.id(), new Member(worker, entry, startedAt));
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
     * Returns the worker's start on the event loop's clock. A start time that has been converted
     * before is not converted again: the wall clock may have been stepped since.
     */
    private double startedAt(EndpointList.Entry entry, Member known) {
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

    /** Releases the connections and names of workers that an update has made obsolete. */
    void releaseObsolete(Update update) {
        pools.onPolicyUpdated(update.draining);
        update.removed.forEach(
                (name, worker) -> {
                    pools.remove(worker);
                    // Each release of the workers brings new names, so old ones are not kept. A
                    // name that is listed again later is treated as a new worker.
                    members.remove(name);
                });
    }

    int size() {
        return members.size();
    }

    /** Returns the version of the last list, or {@link EndpointWatch#NO_VERSION}. */
    long version() {
        return version;
    }

    /** Returns all workers as last listed, or null before the first list. */
    EndpointList snapshot() {
        if (version == EndpointWatch.NO_VERSION) {
            return null;
        }
        return new EndpointList(
                version, true, members.values().stream().map(Member::entry).toList());
    }

    /** Returns the worker of this name, or null if it is not listed. */
    Ids.Worker worker(String name) {
        Member member = members.get(name);
        return member == null ? null : member.worker;
    }

    /** Returns a copy of discovery's names by worker. */
    Map<Ids.Worker, String> names() {
        Map<Ids.Worker, String> names = new HashMap<>();
        members.forEach((name, member) -> names.put(member.worker, name));
        return names;
    }
}
