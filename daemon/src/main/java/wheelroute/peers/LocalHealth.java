package wheelroute.peers;

/**
 * Lifeguard's local health multiplier. Missing responses are evidence that this member itself is
 * slow or partitioned. The more evidence there is, the less often it probes, and the more time it
 * gives the others to respond and to refute a suspicion.
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
     * @param enabled false keeps the score at 0, which is SWIM without this extension
     */
    LocalHealth(boolean enabled) {
        this.enabled = enabled;
    }

    boolean isEnabled() {
        return enabled;
    }

    /** Returns the score, from 0 for healthy to {@link #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** Returns the factor for the probe interval and the probe timeouts. */
    double probeMultiplier() {
        return 1 + score;
    }

    /** Returns the factor for the suspicion timeouts. */
    double suspicionMultiplier() {
        return 1 + score / 2.0;
    }

    /** Records evidence against this member's own health. */
    void degrade(int by) {
        adjust(by);
    }

    /** Records a probe that was acknowledged in time. */
    void improve() {
        adjust(-1);
    }

    private void adjust(int by) {
        score = enabled ? Math.max(0, Math.min(MAX_SCORE, score + by)) : 0;
    }
}
