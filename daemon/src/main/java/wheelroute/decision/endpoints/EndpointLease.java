package wheelroute.decision.endpoints;

/**
 * Rule 3 under an overloaded discovery: how long the endpoint list may be used unconfirmed.
 *
 * <p>A change counts as known {@link #NOTIFICATION_LIMIT} seconds after a discovery that can be
 * reached has it, whether or not it was heard, and attempts must end by the drain grace after that.
 * While discovery is up and answers others, any worker may have left in the meantime. While it is
 * down no change counts, so the list stays in use for as long as that lasts.
 *
 * <p>Times are in seconds.
 */
public final class EndpointLease {
    /** After so long a change counts as known. */
    static final double NOTIFICATION_LIMIT = 6;

    /** Kept back for a connection that comes up late, and a process that is held up at a write. */
    static final double MARGIN = 0.5;

    private final double duration;
    private double confirmedAt = Double.NaN;
    private boolean overloaded;

    /** Creates a lease that is valid until the endpoint list is confirmed for the first time. */
    public EndpointLease(double drainGraceSeconds) {
        duration = Math.max(0, NOTIFICATION_LIMIT + drainGraceSeconds - MARGIN);
    }

    /** Discovery has answered, or this process begins with the list that it was given. */
    public void renew(double now) {
        confirmedAt = now;
        overloaded = false;
    }

    /** Discovery answers others, and not this dispatcher. */
    public void onOverload() {
        overloaded = true;
    }

    /** Whether no worker of the list may be sent to. */
    public boolean isExpired(double now) {
        return overloaded && now > confirmedAt + duration;
    }
}
