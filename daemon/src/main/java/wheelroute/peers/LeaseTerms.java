package wheelroute.peers;

/**
 * The lease that a message concerns.
 *
 * @param share number of the quota share, which is the number of the dispatcher that owns it
 * @param incarnation start of the holder's process in milliseconds; a restarted process is another
 *     holder
 */
public record LeaseTerms(int share, long incarnation) {}
