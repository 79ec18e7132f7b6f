package wheelroute.net.requests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;
import wheelroute.decision.Policy;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.handover.LearnedStateCodec;
import wheelroute.net.handover.TransferableState;
import wheelroute.net.loop.EventLoop;

/**
 * Exports the dispatcher's state to a successor process, and imports the state of a predecessor.
 * Used on the event loop's thread only.
 */
final class StateTransfer implements TransferableState {
    private final EventLoop loop;
    private final Policy policy;
    private final SerialEventQueue events;
    private final EndpointDirectory endpoints;
    private final Set<String> openRequestIds;
    private final AtMostOnceRequests atMostOnceRequests;
    private final Consumer<EndpointList> endpointImporter;

    /**
     * Creates an instance that reads the given components at each export.
     *
     * @param openRequestIds a live view of the ids that clients gave to the open requests
     * @param endpointImporter applies the list of a predecessor as if the list came from discovery
     */
    StateTransfer(
            EventLoop loop,
            Policy policy,
            SerialEventQueue events,
            EndpointDirectory endpoints,
            Set<String> openRequestIds,
            AtMostOnceRequests atMostOnceRequests,
            Consumer<EndpointList> endpointImporter) {
        this.loop = loop;
        this.policy = policy;
        this.events = events;
        this.endpoints = endpoints;
        this.openRequestIds = openRequestIds;
        this.atMostOnceRequests = atMostOnceRequests;
        this.endpointImporter = endpointImporter;
    }

    @Override
    public String exportEndpoints() {
        EndpointList list = endpoints.snapshot();
        return list == null ? null : list.encode();
    }

    /** Imports a predecessor's list, unless the known list is at least as new. */
    @Override
    public void importEndpoints(byte[] list) throws IOException {
        EndpointList imported = EndpointList.decode(list);
        if (imported.version() > endpoints.version()) {
            endpointImporter.accept(imported);
        }
    }

    @Override
    public String exportLearnedState() {
        policy.advanceTo(loop.now());
        Map<Ids.Worker, String> names = endpoints.names();
        return LearnedStateCodec.encode(policy.exportState(), names::get);
    }

    @Override
    public void importLearnedState(byte[] learned) throws IOException {
        LearnedState imported = LearnedStateCodec.decode(learned, endpoints::worker);
        events.run(() -> policy.importState(imported));
    }

    @Override
    public Iterator<String> exportAttemptHistory() {
        return atMostOnceRequests.historyTransfer().export(loop.now());
    }

    @Override
    public void importAttemptHistory(String line) throws IOException {
        atMostOnceRequests.historyTransfer().importLine(line, loop.now());
    }

    @Override
    public void importAttempt(String attempt) throws IOException {
        atMostOnceRequests.importAttempt(attempt);
    }

    @Override
    public void importNeverRan(String request) throws IOException {
        atMostOnceRequests.importNeverRan(request);
    }

    @Override
    public Iterable<String> openKeys() {
        return atMostOnceRequests.encodeOpenKeys();
    }

    @Override
    public Iterable<String> openRequestIds() {
        return new ArrayList<>(openRequestIds);
    }
}
