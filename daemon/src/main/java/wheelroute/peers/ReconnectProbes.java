package wheelroute.peers;

import java.util.ArrayList;
import java.util.List;

/**
 * Pings to seeds that are not among the alive members, and to dead members: this is how a member
 * joins, and how the sides of a healed network partition find each other again. An ack carries the
 * sender's update, which is all that is needed.
 */
final class ReconnectProbes {
    /** Pings per interval of a member that knows no other one yet. */
    private static final int PINGS_WHILE_ALONE = 3;

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

    /** Pings one unreachable address, or several while this member is alone. */
    void ping() {
        List<MemberAddress> addresses = unreachableAddresses();
        int pings = table.probeOrder().isEmpty() ? PINGS_WHILE_ALONE : 1;
        for (int i = 0; i < pings && !addresses.isEmpty(); i++) {
            int sequenceNumber = sender.nextSequenceNumber();
            MemberAddress address = addresses.remove(random.nextIndex(addresses.size()));
            sender.ping(address, sequenceNumber);
        }
    }

    private List<MemberAddress> unreachableAddresses() {
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
