package wheelroute.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How this dispatcher communicates with the others of its installation. Immutable.
 *
 * @param cluster name of the installation; datagrams of other installations are ignored
 * @param listen address at which this dispatcher receives datagrams
 * @param addresses of all dispatchers, including this one, in the order of their numbers
 * @param number this dispatcher's number, from 0
 */
public record PeeringConfig(
        String cluster, InetSocketAddress listen, List<InetSocketAddress> addresses, int number) {}
