package wheelroute.peers;

import java.util.List;

/**
 * The fields that every message carries, whatever its type.
 *
 * @param cluster identifier of the installation; messages of other installations are ignored
 * @param sender the sending member as it sees itself
 * @param digest digest of the sender's list of alive members; see {@link ListSynchronizer}. 0 in
 *     lease messages, which take no part in the comparison of lists
 * @param updates membership updates carried along (gossip), or the entries of a {@link
 *     Message.SyncPage}
 */
public record MessageHeader(
        int cluster, MemberUpdate sender, int digest, List<MemberUpdate> updates) {
    /** The same header with other updates. */
    MessageHeader withUpdates(List<MemberUpdate> others) {
        return new MessageHeader(cluster, sender, digest, others);
    }
}
