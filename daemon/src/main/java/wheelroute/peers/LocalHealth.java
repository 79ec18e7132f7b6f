package wheelroute.peers;

/**
 * Lifeguard's local health multiplier. Missing responses are evidence that this member itself is
 * slow or partitioned. The more evidence there is, the less often this member probes, and the more
 * time it gives other members to respond and to refute a suspicion.
 *
 * <p>Not thread-safe.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    /**
     * Creates the state of a healthy member.
     *
     * @param enabled false to keep the score at 0, which is SWIM without this extension
     */
    LocalHealth(boolean enabled) {
        this.enabled = enabled;
    }

    boolean isEnabled() {
        return enabled;
    }

    /** Returns the score, from 0 for a healthy member to {@link #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** Returns the factor of the probe interval and of the probe timeouts, at least 1. */
    double probeMultiplier() {
        return 1 + score;
    }

    /** Returns the factor of the suspicion timeouts, at least 1. */
    double suspicionMultiplier() {
        return 1 + score / 2.0;
    }

    /** Raises the score after evidence that this member itself is unhealthy. */
    void degrade(int points) {
        adjust(points);
    }

    /** Lowers the score by 1 after a probe was acknowledged in time. */
    void improve() {
        adjust(-1);
    }

    private void adjust(int points) {
        score = enabled ? Math.max(0, Math.min(MAX_SCORE, score + points)) : 0;
    }
}
