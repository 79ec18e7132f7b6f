package wheelroute.config;

import java.net.InetSocketAddress;
import wheelroute.decision.Settings;

/**
 * What one dispatcher is told at its start. Times in seconds.
 *
 * @param sockets how many descriptors the process may hold
 * @param known the remembered list of workers, as the JSON that discovery would send; null for none
 * @param connectLimit a connection that is not up after this is given up
 * @param idleLimit a worker closes a connection that has been idle so long
 * @param longestOuterLimit no submission waits longer
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, int sockets,
        byte[] known, Settings settings, double connectLimit, double idleLimit, double longestOuterLimit) {
}
