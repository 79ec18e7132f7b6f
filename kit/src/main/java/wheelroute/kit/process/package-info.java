/**
 * Runs in real time: the model behind HTTP/1.1 on loopback sockets, and dispatchers as processes of
 * their own.
 */
package wheelroute.kit.process;
