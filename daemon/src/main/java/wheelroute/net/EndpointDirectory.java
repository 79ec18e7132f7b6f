package wheelroute.net;

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
final class EndpointDirectory {
    private final WorkerConnectionPools pools;
    private final Map<String, Member> members = new HashMap<>();
    private long lastWorkerId;
    private long version = EndpointWatch.NO_VERSION;

    /** A worker on the list, with its latest entry. */
    private record Member(Ids.Worker worker, EndpointList.Entry entry) {}

    /**
     * What a list or its changes mean.
     *
     * @param endpoints the entries as the policy knows them, in the list's order
     * @param draining workers that drain
     * @param removed workers that have left the list, by name
     */
    record Update(
            List<Endpoint> endpoints, List<Ids.Worker> draining, Map<String, Ids.Worker> removed) {}

    EndpointDirectory(WorkerConnectionPools pools) {
        this.pools = pools;
    }

    /** Takes over a list. Once the policy knows the update, {@link #settle} has to follow. */
    Update apply(EndpointList list) {
        Update update = new Update(new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        if (list.complete()) {
            members.forEach((name, member) -> update.removed.put(name, member.worker));
        }
        version = list.version();
        for (EndpointList.Entry entry : list.entries()) {
            apply(entry, update);
        }
        return update;
    }

    private void apply(EndpointList.Entry entry, Update update) {
        Member known = members.get(entry.id());
        Ids.Worker worker = known != null ? known.worker : new Ids.Worker(++lastWorkerId);
        members.put(entry.id(), new Member(worker, entry));
        if (entry.state() == Endpoint.State.REMOVED) {
            update.removed.put(entry.id(), worker);
        } else {
            update.removed.remove(entry.id());
            pools.listed(worker, entry.address(), entry.startedAt());
            if (entry.state() == Endpoint.State.DRAINING) {
                update.draining.add(worker);
            }
        }
        update.endpoints.add(endpoint(worker, entry));
    }

    private static Endpoint endpoint(Ids.Worker worker, EndpointList.Entry entry) {
        return new Endpoint(
                worker,
                new Ids.Model(entry.model()),
                entry.weight(),
                new Ids.Zone(entry.zone()),
                entry.startedAt(),
                new Ids.Cell(entry.cell()),
                entry.state());
    }

    /** Releases the connections and names that an update has made obsolete. */
    void settle(Update update) {
        pools.settle(update.draining);
        update.removed.forEach(
                (name, worker) -> {
                    pools.gone(worker);
                    // Releases bring new names without end; a name that returns is a new worker.
                    members.remove(name);
                });
    }

    int size() {
        return members.size();
    }

    /** The version of the last list, or {@link EndpointWatch#NO_VERSION}. */
    long version() {
        return version;
    }

    /** All workers as last listed; null before the first list. */
    EndpointList snapshot() {
        if (version == EndpointWatch.NO_VERSION) {
            return null;
        }
        return new EndpointList(
                version, true, members.values().stream().map(Member::entry).toList());
    }

    /** The worker of this name; null when it is not listed. */
    Ids.Worker worker(String name) {
        Member member = members.get(name);
        return member == null ? null : member.worker;
    }

    /** Discovery's names by worker, at this moment. */
    Map<Ids.Worker, String> names() {
        Map<Ids.Worker, String> names = new HashMap<>();
        members.forEach((name, member) -> names.put(member.worker, name));
        return names;
    }
}
