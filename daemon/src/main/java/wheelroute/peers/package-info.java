/**
 * Cluster membership and quota leases among dispatchers. {@link wheelroute.peers.Membership}
 * detects which dispatchers are alive, {@link wheelroute.peers.QuotaLeases} and {@link
 * wheelroute.peers.LeaseVoter} divide a shared quota among them, and {@link
 * wheelroute.peers.MessageCodec} is the wire format. There is no I/O and no clock: messages and
 * times are passed in. docs/design/peers.md gives the reasons for the design.
 */
package wheelroute.peers;
