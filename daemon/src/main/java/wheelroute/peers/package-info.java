/**
 * Cluster membership and quota leases among dispatchers: {@link wheelroute.peers.Membership} knows
 * which are alive, {@link wheelroute.peers.QuotaLeases} and {@link wheelroute.peers.LeaseVoter}
 * what each may use of a quota that all share, and {@link wheelroute.peers.MessageCodec} the wire
 * format. No I/O and no clock: messages and times are passed in. docs/design/peers.md gives the
 * reasons.
 */
package wheelroute.peers;
