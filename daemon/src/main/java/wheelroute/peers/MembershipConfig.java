package wheelroute.peers;

import java.util.List;

/**
 * Configuration of a member. Immutable.
 *
 * @param cluster identifier of the installation; messages of other installations are ignored
 * @param id name of this member, unique in the cluster and unchanged by restarts
 * @param address address at which the other members reach this member
 * @param incarnation start time of this process in milliseconds, so that updates of a later process
 *     supersede those of this one
 * @param seeds addresses that are contacted to join; this member's own address may be among them
 * @param randomSeed seed of all random choices
 * @param localHealthAware whether timeouts follow Lifeguard's local health multiplier; false only
 *     in experiments that compare both variants
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
