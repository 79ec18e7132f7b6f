package wheelroute.peers;

/**
 * Identifies the lease that a message refers to.
 *
 * @param share number of the quota share, which is the number of the dispatcher that owns it
 * @param incarnation start time of the holder's process in milliseconds; a restarted process counts
 *     as another holder
 */
public record LeaseTerms(int share, long incarnation) {}
