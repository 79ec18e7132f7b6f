package wheelroute.peers;

import java.util.List;

/**
 * The fields that all message types have in common. Immutable.
 *
 * @param cluster identifier of the installation; messages of other installations are ignored
 * @param sender update in which the sending member announces itself
 * @param digest digest of the sender's list of alive members, see {@link ListSynchronizer}; 0 in
 *     lease messages, which are not used to compare member lists
 * @param updates piggybacked membership updates (gossip), or the entries of a {@link
 *     Message.SyncPage}
 */
public record MessageHeader(
        int cluster, MemberUpdate sender, int digest, List<MemberUpdate> updates) {
    /** Returns a copy of this header with other updates. */
    MessageHeader withUpdates(List<MemberUpdate> others) {
        return new MessageHeader(cluster, sender, digest, others);
    }
}
