/** Simulates {@link wheelroute.peers.Membership}: a cluster, its network and their faults. */
package wheelroute.kit.peers;
