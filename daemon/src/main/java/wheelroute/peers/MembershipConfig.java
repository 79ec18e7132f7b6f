package wheelroute.peers;

import java.util.List;

/**
 * Configuration of a member. Immutable.
 *
 * @param cluster identifier of the installation; messages of other installations are ignored
 * @param id name of this member, unique in the cluster and kept over restarts
 * @param address at which the other members reach it
 * @param incarnation start of this process in milliseconds, so that a later process supersedes it
 * @param seeds addresses that are tried first; this member's own may be among them
 * @param randomSeed seed of all random choices
 * @param localHealthAware whether timeouts follow the local health multiplier (Lifeguard); false is
 *     for comparisons in experiments
 */
public record MembershipConfig(
        int cluster,
        PeerId id,
        MemberAddress address,
        long incarnation,
        List<MemberAddress> seeds,
        long randomSeed,
        boolean localHealthAware) {
    /** Creates a configuration with a copy of the list of seeds. */
    public MembershipConfig {
        seeds = List.copyOf(seeds);
    }
}
