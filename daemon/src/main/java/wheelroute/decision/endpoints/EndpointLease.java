package wheelroute.decision.endpoints;

/**
 * Enforces rule 3 while discovery is overloaded, by limiting the time for which the endpoint list
 * may be used unconfirmed.
 *
 * <p>A change counts as known {@link #NOTIFICATION_LIMIT_SECONDS} after a discovery that can be
 * reached has it, whether or not this dispatcher was notified, and attempts must end by the drain
 * grace after that. While discovery is up and answers other dispatchers, any worker may have left
 * in the meantime. While discovery is down no change counts, so the list stays in use until
 * discovery is up again.
 */
public final class EndpointLease {
    /**
     * The time after which a change counts as known, which the operators require. The constants of
     * {@code net.discovery.DiscoveryCallPolicy} are chosen so that a change is received within that
     * time.
     */
    static final double NOTIFICATION_LIMIT_SECONDS = 6;

    /**
     * The margin by which the lease is shortened, for an attempt whose connection comes up late or
     * whose process is delayed before the write.
     */
    static final double MARGIN_SECONDS = 0.5;

    private final double durationSeconds;

    /**
     * The time of the last confirmation; NaN before the first. No time compares as later than NaN,
     * so the lease is not expired then.
     */
    private double confirmedAt = Double.NaN;

    private boolean overloaded;

    /**
     * Creates a lease that is valid until the endpoint list is confirmed for the first time.
     *
     * @param drainGraceSeconds the drain grace, 0 or more; only {@code SettingsReader} checks the
     *     bound, because that is where the settings come from outside
     */
    public EndpointLease(double drainGraceSeconds) {
        durationSeconds = NOTIFICATION_LIMIT_SECONDS + drainGraceSeconds - MARGIN_SECONDS;
    }

    /**
     * Renews the lease, because discovery has answered or this process begins with a list that was
     * given to it.
     */
    public void renew(double now) {
        confirmedAt = now;
        overloaded = false;
    }

    /** Records that discovery answers other dispatchers but not this one. */
    public void onOverload() {
        overloaded = true;
    }

    /** Returns whether no worker of the list may be sent to. */
    public boolean isExpired(double now) {
        return overloaded && now > confirmedAt + durationSeconds;
    }
}
