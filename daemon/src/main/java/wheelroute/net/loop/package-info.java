/** The event loop: one thread for all sockets, timers and posted tasks. */
package wheelroute.net.loop;
