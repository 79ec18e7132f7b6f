package wheelroute.peers;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * The member list, which consists of this member and all other known members, with a digest of
 * those that count as alive. Members that are dead or have left are kept for a limited time as
 * tombstones, so that delayed updates do not revive them. The table only stores updates; {@link
 * UpdateProcessor} decides which are accepted.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class MemberTable {
    private static final int MAX_MEMBERS = 10_000;

    /** Time for which the tombstone of a member is kept. */
    private static final double TOMBSTONE_RETENTION_SECONDS = 600;

    /** Increase of the size multiplier for each tenfold increase of the cluster size. */
    private static final double SIZE_MULTIPLIER_PER_DECADE = 1.5;

    private final Map<PeerId, MemberRecord> records = new TreeMap<>();
    private final ProbeOrder probeOrder;
    private MemberUpdate self;
    private int digest;

    MemberTable(MemberUpdate self, DeterministicRandom random) {
        this.self = self;
        probeOrder = new ProbeOrder(random);
        digest = digestOf(self);
    }

    /** Returns the update in which this member announces itself. */
    MemberUpdate self() {
        return self;
    }

    boolean isSelf(PeerId id) {
        return id.equals(self.id());
    }

    /** Sets this member's incarnation to a higher one, with the state alive. */
    void raiseIncarnation(long incarnation) {
        digest ^= digestOf(self);
        self =
                new MemberUpdate(
                        self.id(), self.address(), incarnation, MemberUpdate.State.ALIVE, 0);
        digest ^= digestOf(self);
    }

    /** Marks this member as having left. The digest does not change. */
    void markSelfLeft() {
        self = self.withState(MemberUpdate.State.LEFT, self.id());
    }

    /** Returns the record of another member; null if the member is unknown. */
    MemberRecord find(PeerId id) {
        return records.get(id);
    }

    /** Returns the records of all other members, including tombstones, ordered by name. */
    Collection<MemberRecord> records() {
        return records.values();
    }

    /** Returns the other members that count as alive, in probe order. */
    ProbeOrder probeOrder() {
        return probeOrder;
    }

    /** Returns the number of members that count as alive, including this one. */
    int aliveCount() {
        return 1 + probeOrder.size();
    }

    /** Returns whether another member that counts as alive has this address. */
    boolean isAliveAt(MemberAddress address) {
        for (MemberRecord member : probeOrder.members()) {
            if (member.address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the factor by which timeouts and retransmissions grow with the cluster size. The
     * factor is at least 1 and grows logarithmically, as the dissemination time of gossip does.
     */
    double sizeMultiplier() {
        return Math.max(1, Math.log10(aliveCount() + 1.0) * SIZE_MULTIPLIER_PER_DECADE);
    }

    /**
     * Returns a digest of the members that count as alive. Equal lists have equal digests;
     * different lists may collide.
     */
    int digest() {
        return digest;
    }

    boolean isFull() {
        return records.size() >= MAX_MEMBERS;
    }

    /** Adds a member, which must be unknown. */
    MemberRecord add(MemberUpdate update, double now) {
        MemberRecord member = new MemberRecord(update);
        records.put(update.id(), member);
        store(member, update, null, now);
        return member;
    }

    /** Replaces the latest update of a known member. */
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

    /** Removes the tombstones whose retention time is over. */
    void removeExpiredTombstones(double now) {
        for (MemberRecord member : new ArrayList<>(records.values())) {
            if (!member.isAlive() && now - member.stateSince() > TOMBSTONE_RETENTION_SECONDS) {
                records.remove(member.id());
            }
        }
    }

    /**
     * Returns the latest updates of the other members, ordered by name.
     *
     * @param after the member after which the result starts; null for all members
     */
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
