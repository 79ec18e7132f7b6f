/**
 * The real clock: the same world behind HTTP/1.1 on loopback sockets, and daemons as processes of
 * their own.
 */
package wheelroute.kit.process;
