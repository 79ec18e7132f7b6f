package wheelroute.peers;

import java.util.ArrayList;
import java.util.List;

/**
 * Pings dead members, and seeds at whose address no member is alive. The header of an ack makes the
 * sender of the ack known as alive. In this way a member joins the cluster, and the sides of a
 * network partition find each other again once the partition has healed.
 *
 * <p>Not thread-safe.
 */
final class ReconnectProbes {
    /** Number of pings per interval while no other member is known to be alive. */
    private static final int PINGS_WHILE_ISOLATED = 3;

    private final List<MemberAddress> seeds;
    private final MemberTable table;
    private final MessageSender sender;
    private final DeterministicRandom random;

    ReconnectProbes(
            List<MemberAddress> seeds,
            MemberTable table,
            MessageSender sender,
            DeterministicRandom random) {
        this.seeds = seeds;
        this.table = table;
        this.sender = sender;
        this.random = random;
    }

    /** Pings one address without an alive member, or several if no other member is alive. */
    void ping() {
        List<MemberAddress> addresses = addressesToTry();
        int pings = table.probeOrder().isEmpty() ? PINGS_WHILE_ISOLATED : 1;
        for (int i = 0; i < pings && !addresses.isEmpty(); i++) {
            int sequenceNumber = sender.nextSequenceNumber();
            MemberAddress address = addresses.remove(random.nextIndex(addresses.size()));
            sender.ping(address, sequenceNumber);
        }
    }

    private List<MemberAddress> addressesToTry() {
        List<MemberAddress> addresses = new ArrayList<>();
        for (MemberAddress seed : seeds) {
            if (!seed.equals(table.self().address()) && !table.isAliveAt(seed)) {
                addresses.add(seed);
            }
        }
        for (MemberRecord member : table.records()) {
            if (member.state() == MemberUpdate.State.DEAD) {
                addresses.add(member.address());
            }
        }
        return addresses;
    }
}
