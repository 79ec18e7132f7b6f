package wheelroute.net.metrics;

/**
 * The values of the gauges at one moment; {@link Counters} has the counters.
 *
 * @param open requests with a response or an attempt outstanding
 * @param pending requests accepted, and neither answered nor abandoned by their clients
 * @param clients open connections of clients
 * @param workers open connections to workers
 * @param listed workers on the endpoint list, draining ones included
 * @param avoided those of them that the policy avoids now
 * @param leaseExpired 1 while the list is too old to send to any of them, else 0
 */
public record Gauges(
        int open,
        int pending,
        int clients,
        int workers,
        int listed,
        int avoided,
        int leaseExpired) {}
