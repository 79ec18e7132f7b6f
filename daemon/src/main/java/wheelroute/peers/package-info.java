/**
 * Dispatchers that know each other: who is there, who has failed, and what each may use of what all
 * share. No I/O, no clock: fed with datagrams and times. docs/design/peers.md tells why it is as it
 * is.
 */
package wheelroute.peers;
