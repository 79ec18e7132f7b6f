package wheelroute.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Configuration of gossip with the other dispatchers of the cluster. Immutable.
 *
 * @param cluster name of the cluster; datagrams from other clusters are ignored
 * @param listen address at which this dispatcher receives datagrams
 * @param addresses addresses of all dispatchers, including this one, in the order of their numbers
 * @param number this dispatcher's number, from 0
 */
public record PeeringConfig(
        String cluster, InetSocketAddress listen, List<InetSocketAddress> addresses, int number) {}
