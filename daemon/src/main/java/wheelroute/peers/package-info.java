/**
 * Cluster membership and quota leases among dispatchers. {@link wheelroute.peers.Membership}
 * detects which dispatchers are alive, {@link wheelroute.peers.QuotaLeases} and {@link
 * wheelroute.peers.LeaseVoter} divide a shared quota among them, and {@link
 * wheelroute.peers.MessageCodec} implements the wire format. The package performs no I/O and reads
 * no clock; callers pass in messages and times. docs/design/peers.md gives the reasons for the
 * design.
 */
package wheelroute.peers;
