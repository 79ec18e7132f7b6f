package wheelroute.kit.faults;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import wheelroute.kit.scenario.Scenario;

/**
 * A link between a dispatcher and another process.
 *
 * @param dispatcher number of the dispatcher
 * @param remote the other end: the number of a worker, {@link #DISCOVERY}, {@link #CLIENTS}, or a
 *     peer as encoded by {@link #toPeer}
 */
public record NetworkLink(int dispatcher, int remote) {
    /** Denotes discovery in place of a worker's number. */
    public static final int DISCOVERY = -1;

    /** Denotes the clients in place of a worker's number. */
    public static final int CLIENTS = -2;

    /** Denotes dispatcher 0 in place of a worker's number; dispatcher n is this value minus n. */
    private static final int FIRST_PEER = -3;

    /** Returns the link between a dispatcher and discovery. */
    public static NetworkLink toDiscovery(int dispatcher) {
        return new NetworkLink(dispatcher, DISCOVERY);
    }

    /** Returns the link between a dispatcher and its clients. */
    public static NetworkLink toClients(int dispatcher) {
        return new NetworkLink(dispatcher, CLIENTS);
    }

    /** Returns the link from one dispatcher to another. */
    public static NetworkLink toPeer(int dispatcher, int peer) {
        return new NetworkLink(dispatcher, FIRST_PEER - peer);
    }

    /** Returns whether the other end is a dispatcher. */
    public boolean isToPeer() {
        return remote <= FIRST_PEER;
    }

    /** Returns the number of the other dispatcher; meaningful only if the link is to a peer. */
    public int peer() {
        return FIRST_PEER - remote;
    }

    /** Returns whether the other end is a worker. */
    public boolean isToWorker() {
        return remote >= 0;
    }

    /**
     * Returns the links of a dispatcher that a fault affects.
     *
     * @param targets all dispatchers that the fault affects; links among them stay open
     * @param dispatchers number of dispatchers
     * @param groups the group of each worker, by worker number
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
                            .filter(peer -> !contains(targets, peer))
                            .limit((long) Math.ceil(fault.peerFraction() * dispatchers))
                            .mapToObj(peer -> toPeer(dispatcher, peer))
                            .toList();
            case WORKERS ->
                    IntStream.range(0, groups.size())
                            .filter(worker -> fault.affects(groups.get(worker)))
                            .mapToObj(worker -> new NetworkLink(dispatcher, worker))
                            .toList();
        };
    }

    private static boolean contains(int[] numbers, int number) {
        return Arrays.stream(numbers).anyMatch(n -> n == number);
    }
}
