package wheelroute.decision.endpoints;

/**
 * Rule 3 under an overloaded discovery: how long the endpoint list may be used unconfirmed.
 *
 * <p>A change counts as known {@link #NOTIFICATION_LIMIT_SECONDS} after a discovery that can be
 * reached has it, whether or not this dispatcher was notified, and attempts must end by the drain
 * grace after that. While discovery is up and answers others, any worker may have left in the
 * meantime. While discovery is down no change counts, so the list stays in use until it is up.
 */
public final class EndpointLease {
    /**
     * Required by the operators. The constants of {@code net.discovery.DiscoveryCallPolicy} are
     * chosen so that a change is received within it.
     */
    static final double NOTIFICATION_LIMIT_SECONDS = 6;

    /**
     * Kept back from the lease, for an attempt whose connection comes up late or whose process is
     * delayed before the write.
     */
    static final double MARGIN_SECONDS = 0.5;

    private final double durationSeconds;

    /** NaN before the first confirmation, with which no time compares as later: not expired. */
    private double confirmedAt = Double.NaN;

    private boolean overloaded;

    /**
     * Creates a lease that is valid until the endpoint list is confirmed for the first time.
     *
     * @param drainGraceSeconds 0 or more, as {@code SettingsReader} ensures: the only place that
     *     bounds it, because the settings come from outside there
     */
    public EndpointLease(double drainGraceSeconds) {
        durationSeconds = NOTIFICATION_LIMIT_SECONDS + drainGraceSeconds - MARGIN_SECONDS;
    }

    /** Renews the lease: discovery has answered, or this process begins with a list given to it. */
    public void renew(double now) {
        confirmedAt = now;
        overloaded = false;
    }

    /** Records that discovery answers others, but not this dispatcher. */
    public void onOverload() {
        overloaded = true;
    }

    /** Whether no worker of the list may be sent to. */
    public boolean isExpired(double now) {
        return overloaded && now > confirmedAt + durationSeconds;
    }
}
