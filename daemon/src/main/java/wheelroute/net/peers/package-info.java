/** Datagrams between dispatchers: carries what {@link wheelroute.peers} decides. */
package wheelroute.net.peers;
