package wheelroute.kit.faults;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import wheelroute.kit.scenario.Scenario;

/**
 * One way from a dispatcher to another process.
 *
 * @param worker which worker, {@link #DISCOVERY}, {@link #CLIENTS} or, from {@link #FIRST_PEER}
 *     down, which peer
 */
public record NetworkLink(int dispatcher, int worker) {
    public static final int DISCOVERY = -1;
    public static final int CLIENTS = -2;
    private static final int FIRST_PEER = -3;

    /** The link between a dispatcher and discovery. */
    public static NetworkLink toDiscovery(int dispatcher) {
        return new NetworkLink(dispatcher, DISCOVERY);
    }

    /** The link between a dispatcher and its clients. */
    public static NetworkLink toClients(int dispatcher) {
        return new NetworkLink(dispatcher, CLIENTS);
    }

    /** The link from one dispatcher to another. */
    public static NetworkLink toPeer(int dispatcher, int peer) {
        return new NetworkLink(dispatcher, FIRST_PEER - peer);
    }

    /** Whether the other end is a dispatcher. */
    public boolean isToPeer() {
        return worker <= FIRST_PEER;
    }

    /** The number of the dispatcher at the far end of a way to a peer. */
    public int peer() {
        return FIRST_PEER - worker;
    }

    /** Whether the other end is a worker. */
    public boolean isToWorker() {
        return worker >= 0;
    }

    /**
     * The ways of a dispatcher that a fault is about.
     *
     * @param targets all dispatchers that it meets together: they keep the ways among themselves
     * @param dispatchers how many there are
     * @param groups the group of each worker, by its number
     */
    public static List<NetworkLink> of(
            Scenario.Fault fault,
            int dispatcher,
            int[] targets,
            int dispatchers,
            List<Scenario.WorkerGroup> groups) {
        return switch (fault.affectedLinks()) {
            case DISCOVERY -> List.of(toDiscovery(dispatcher));
            case CLIENTS -> List.of(toClients(dispatcher));
            case PEERS ->
                    IntStream.range(0, dispatchers)
                            .filter(n -> Arrays.stream(targets).noneMatch(t -> t == n))
                            .limit((long) Math.ceil(fault.peerFraction() * dispatchers))
                            .mapToObj(n -> toPeer(dispatcher, n))
                            .toList();
            case WORKERS ->
                    IntStream.range(0, groups.size())
                            .filter(n -> fault.affects(groups.get(n)))
                            .mapToObj(n -> new NetworkLink(dispatcher, n))
                            .toList();
        };
    }
}
