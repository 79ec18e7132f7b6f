package wheelroute.net;

/**
 * What is so at this moment, beside what {@link Counters} has counted.
 *
 * @param open submissions with an answer or a launch still to end
 * @param pending submissions taken, and neither answered nor left by their clients
 * @param clients connections of clients
 * @param workers connections to workers
 * @param listed workers on the list, those that drain too
 * @param avoided of those the ones that the decisions avoid now
 */
public record Gauges(int open, int pending, int clients, int workers, int listed, int avoided) {}
