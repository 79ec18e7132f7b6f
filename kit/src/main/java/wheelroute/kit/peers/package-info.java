/**
 * Simulation of {@link wheelroute.peers.Membership} on the virtual clock: a cluster, its network
 * and the faults that both may have.
 */
package wheelroute.kit.peers;
