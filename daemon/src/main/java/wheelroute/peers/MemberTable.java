package wheelroute.peers;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * The member list: this member, all others that are known, and a digest of those that count as
 * alive. Dead members are kept for a while as tombstones, so that old updates do not revive them.
 * Holds data only; {@link UpdateProcessor} decides what is accepted.
 */
final class MemberTable {
    private static final int MAX_MEMBERS = 10_000;

    /** How long members that are dead or have left are remembered, in seconds. */
    private static final double TOMBSTONE_RETENTION = 600;

    private static final double SIZE_FACTOR = 1.5;

    private final Map<PeerId, MemberRecord> records = new TreeMap<>();
    private final ProbeOrder probeOrder;
    private MemberUpdate self;
    private int digest;

    MemberTable(MemberUpdate self, DeterministicRandom random) {
        this.self = self;
        probeOrder = new ProbeOrder(random);
        digest = digestOf(self);
    }

    /** This member as it announces itself. */
    MemberUpdate self() {
        return self;
    }

    boolean isSelf(PeerId id) {
        return id.equals(self.id());
    }

    /** Raises this member's own incarnation, which only it may do. */
    void raiseIncarnation(long incarnation) {
        digest ^= digestOf(self);
        self =
                new MemberUpdate(
                        self.id(), self.address(), incarnation, MemberUpdate.State.ALIVE, 0);
        digest ^= digestOf(self);
    }

    /** Marks this member as leaving; it stays in its own digest. */
    void markSelfLeft() {
        self = self.withState(MemberUpdate.State.LEFT, self.id());
    }

    /** The record of another member; null if it is unknown. */
    MemberRecord find(PeerId id) {
        return records.get(id);
    }

    /** Records of all others, ordered by name; also of those that are dead or have left. */
    Collection<MemberRecord> records() {
        return records.values();
    }

    /** The others that count as alive, in probe order. */
    ProbeOrder probeOrder() {
        return probeOrder;
    }

    /** Number of members that count as alive, this one included. */
    int aliveCount() {
        return 1 + probeOrder.size();
    }

    boolean isAliveAt(MemberAddress address) {
        for (MemberRecord member : probeOrder.members()) {
            if (member.address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** Factor by which gossip and timeouts grow with the cluster: logarithmic, at least 1. */
    double sizeMultiplier() {
        return Math.max(1, Math.log10(aliveCount() + 1.0) * SIZE_FACTOR);
    }

    /** Equal at two members, up to collisions, if they hold the same members to be alive. */
    int digest() {
        return digest;
    }

    boolean isFull() {
        return records.size() >= MAX_MEMBERS;
    }

    /** Adds a member that is unknown so far. */
    MemberRecord add(MemberUpdate update, double now) {
        MemberRecord member = new MemberRecord(update);
        records.put(update.id(), member);
        store(member, update, null, now);
        return member;
    }

    /** Replaces what is known of a member. */
    void replace(MemberRecord member, MemberUpdate update, double now) {
        store(member, update, member.update(), now);
    }

    private void store(
            MemberRecord member, MemberUpdate update, MemberUpdate previous, double now) {
        boolean wasAlive = previous != null && previous.state().isAlive();
        boolean isAlive = update.state().isAlive();
        member.replace(update, previous == null || previous.state() != update.state(), now);
        if (wasAlive) {
            digest ^= digestOf(previous);
        }
        if (isAlive) {
            digest ^= digestOf(update);
        }
        if (isAlive && !wasAlive) {
            probeOrder.insert(member);
        } else if (wasAlive && !isAlive) {
            probeOrder.remove(member);
        }
    }

    /** Removes members that have not been alive for longer than the retention. */
    void removeExpiredTombstones(double now) {
        for (MemberRecord member : new ArrayList<>(records.values())) {
            if (!member.isAlive() && now - member.stateSince() > TOMBSTONE_RETENTION) {
                records.remove(member.id());
            }
        }
    }

    /** Latest updates of the members behind the given one by name; of all if it is null. */
    List<MemberUpdate> updatesAfter(MemberUpdate after) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberRecord member : records.values()) {
            if (after == null || member.id().compareTo(after.id()) > 0) {
                updates.add(member.update());
            }
        }
        return updates;
    }

    private static int digestOf(MemberUpdate update) {
        String text =
                update.id().name() + " " + update.incarnation() + " " + update.state().isAlive();
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }
}
