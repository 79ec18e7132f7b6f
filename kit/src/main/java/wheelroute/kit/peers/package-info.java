/** Simulation of a cluster of {@link wheelroute.peers.Membership}s, its network and faults. */
package wheelroute.kit.peers;
