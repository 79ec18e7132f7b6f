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
 * The workers on the endpoint list: maps discovery's names to the ids that the policy uses, and
 * keeps the connection pools in step with the list. Only for the event loop's thread.
 */
public final class EndpointDirectory {
    private final WorkerConnectionPools pools;
    private final StartTimes startTimes;
    private final Map<String, Member> members = new HashMap<>();
    private long lastWorkerId;
    private long version = EndpointWatch.NO_VERSION;

    /**
     * A worker on the list, with its latest entry.
     *
     * @param startedAt on this process's own time line
     */
    private record Member(Ids.Worker worker, EndpointList.Entry entry, double startedAt) {}

    /**
     * What a list or its changes mean.
     *
     * @param endpoints the entries as the policy knows them, in the list's order
     * @param draining workers that drain
     * @param removed workers that have left the list, by name
     */
    record Update(
            List<Endpoint> endpoints, List<Ids.Worker> draining, Map<String, Ids.Worker> removed) {}

    EndpointDirectory(WorkerConnectionPools pools, StartTimes startTimes) {
        this.pools = pools;
        this.startTimes = startTimes;
    }

    /** Takes over a list. Once the policy knows the update, {@link #settle} has to follow. */
    Update apply(EndpointList list) {
        Update update = new Update(new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        if (list.complete()) {
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
        double startedAt = startOf(entry, known);
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
     * A start that was listed before stays where it was, whatever the wall clock has done since.
     */
    private double startOf(EndpointList.Entry entry, Member known) {
        boolean sameStart =
                known != null && Double.compare(known.entry.startedAt(), entry.startedAt()) == 0;
        return sameStart ? known.startedAt : startTimes.toTimeLine(entry.startedAt());
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
    void settle(Update update) {
        pools.onPolicyUpdated(update.draining);
        update.removed.forEach(
                (name, worker) -> {
                    pools.remove(worker);
                    // Releases bring new names without end; a name that returns is a new worker.
                    members.remove(name);
                });
    }

    int size() {
        return members.size();
    }

    /** The version of the last list, or {@link EndpointWatch#NO_VERSION}. */
    public long version() {
        return version;
    }

    /** All workers as last listed; null before the first list. */
    public EndpointList snapshot() {
        if (version == EndpointWatch.NO_VERSION) {
            return null;
        }
        return new EndpointList(
                version, true, members.values().stream().map(Member::entry).toList());
    }

    /** The worker of this name; null when it is not listed. */
    public Ids.Worker worker(String name) {
        Member member = members.get(name);
        return member == null ? null : member.worker;
    }

    /** Discovery's names by worker, at this moment. */
    public Map<Ids.Worker, String> names() {
        Map<Ids.Worker, String> names = new HashMap<>();
        members.forEach((name, member) -> names.put(member.worker, name));
        return names;
    }
}
