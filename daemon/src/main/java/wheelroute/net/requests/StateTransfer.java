package wheelroute.net.requests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;
import wheelroute.decision.Policy;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.handover.Handover;
import wheelroute.net.handover.LearnedStateCodec;
import wheelroute.net.loop.EventLoop;

/** Exports the dispatcher's state to a successor process, and imports a predecessor's. */
public final class StateTransfer implements Handover.TransferableState {
    private final EventLoop loop;
    private final Policy policy;
    private final SerialEventQueue turns;
    private final EndpointDirectory endpoints;
    private final Set<String> openRequestIds;
    private final Consumer<EndpointList> listImporter;

    /**
     * Reads the given state whenever it is asked for.
     *
     * @param openRequestIds a live view of the clients' ids of open requests
     * @param listImporter takes a predecessor's endpoint list as if it came from discovery
     */
    public StateTransfer(
            EventLoop loop,
            Policy policy,
            SerialEventQueue turns,
            EndpointDirectory endpoints,
            Set<String> openRequestIds,
            Consumer<EndpointList> listImporter) {
        this.loop = loop;
        this.policy = policy;
        this.turns = turns;
        this.endpoints = endpoints;
        this.openRequestIds = openRequestIds;
        this.listImporter = listImporter;
    }

    @Override
    public String exportEndpoints() {
        EndpointList list = endpoints.snapshot();
        return list == null ? null : list.encode();
    }

    /** A list that discovery has sent in the meantime is the newer one. */
    @Override
    public void importEndpoints(byte[] list) throws IOException {
        EndpointList imported = EndpointList.decode(list);
        if (imported.version() > endpoints.version()) {
            listImporter.accept(imported);
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
        turns.run(() -> policy.importState(imported));
    }

    @Override
    public Iterable<String> openRequestIds() {
        return new ArrayList<>(openRequestIds);
    }
}
