package wheelroute.net.metrics;

/**
 * The values of the gauges at a point in time; {@link Counters} has the counters.
 *
 * @param open requests for which a response or an attempt is outstanding
 * @param pending accepted requests that have neither been answered nor been abandoned by their
 *     clients
 * @param clients open client connections
 * @param workers open connections to workers
 * @param listed workers on the endpoint list, including draining workers
 * @param avoided listed workers to which the policy currently sends no ordinary requests
 * @param leaseExpired 1 while the endpoint list is too old for any worker to be used, otherwise 0
 * @param rememberedRequests requests that must not run twice of which an attempt may have run
 */
public record Gauges(
        int open,
        int pending,
        int clients,
        int workers,
        int listed,
        int avoided,
        int leaseExpired,
        int rememberedRequests) {}
