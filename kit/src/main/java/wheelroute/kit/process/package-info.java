/**
 * Runs in real time, in which the model serves HTTP/1.1 on loopback sockets and each dispatcher is
 * a process of its own.
 */
package wheelroute.kit.process;
