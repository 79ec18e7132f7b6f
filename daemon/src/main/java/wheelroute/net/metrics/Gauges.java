package wheelroute.net.metrics;

/**
 * The values of the gauges at one time; {@link Counters} has the counters.
 *
 * @param open requests with a response or an attempt outstanding
 * @param pending requests accepted, and neither answered nor abandoned by their clients
 * @param clients open client connections
 * @param workers open connections to workers
 * @param listed workers on the endpoint list, draining ones included
 * @param avoided listed workers to which the policy currently sends no ordinary requests
 * @param leaseExpired 1 while the list is too old for any worker to be used, else 0
 */
public record Gauges(
        int open,
        int pending,
        int clients,
        int workers,
        int listed,
        int avoided,
        int leaseExpired) {}
