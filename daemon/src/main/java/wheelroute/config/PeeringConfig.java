package wheelroute.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How this dispatcher and the other dispatchers of its installation communicate.
 *
 * @param cluster the same for all of them; datagrams of other clusters are ignored
 * @param listen where this dispatcher receives datagrams
 * @param addresses of all dispatchers, its own included, ordered by their number
 * @param number this dispatcher's number, from 0
 */
public record PeeringConfig(
        String cluster, InetSocketAddress listen, List<InetSocketAddress> addresses, int number) {}
