package wheelroute.peers;

import java.util.List;

/**
 * The fields that all messages have. Immutable.
 *
 * @param cluster identifier of the installation; messages of other installations are ignored
 * @param sender the sending member as it announces itself
 * @param digest digest of the sender's list of alive members, see {@link ListSynchronizer}; 0 in
 *     lease messages, which are not used to compare lists
 * @param updates piggybacked membership updates (gossip), or the entries of a {@link
 *     Message.SyncPage}
 */
public record MessageHeader(
        int cluster, MemberUpdate sender, int digest, List<MemberUpdate> updates) {
    /** Returns the same header with other updates. */
    MessageHeader withUpdates(List<MemberUpdate> others) {
        return new MessageHeader(cluster, sender, digest, others);
    }
}
