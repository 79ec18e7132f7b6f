package wheelroute.peers;

/**
 * What a lease message is about.
 *
 * @param share number of the quota share, which is that of the dispatcher it belongs to
 * @param incarnation start of the process that is to hold the lease; another start of the same
 *     dispatcher is another holder
 */
public record LeaseTerms(int share, long incarnation) {}
