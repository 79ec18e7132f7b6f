package wheelroute.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How this dispatcher and the others of its installation know each other.
 *
 * @param cluster the same at all of them; others are not listened to
 * @param listen where it hears datagrams
 * @param addresses where each is reached, in the order of their numbers, its own among them
 * @param number its own
 */
public record PeeringConfig(
        String cluster, InetSocketAddress listen, List<InetSocketAddress> addresses, int number) {}
