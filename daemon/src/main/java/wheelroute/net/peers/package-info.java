/**
 * Runs {@link wheelroute.peers} on the event loop and over UDP; {@link
 * wheelroute.net.peers.MembershipService} is the entry point.
 */
package wheelroute.net.peers;
