/**
 * Dispatchers that know each other, on the virtual clock: their datagrams, and whatever can befall
 * them.
 */
package wheelroute.kit.peers;
