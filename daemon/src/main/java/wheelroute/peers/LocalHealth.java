package wheelroute.peers;

/**
 * Lifeguard's local health multiplier: a member that misses responses it should have got suspects
 * itself of being slow or cut off, probes less often, and gives the others more time to respond and
 * to refute a suspicion.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    /**
     * Creates a healthy state.
     *
     * @param enabled false keeps the score at 0, which is SWIM without this extension
     */
    LocalHealth(boolean enabled) {
        this.enabled = enabled;
    }

    boolean isEnabled() {
        return enabled;
    }

    /** 0 for healthy, up to {@link #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** Factor for the probe interval and the probe timeouts. */
    double probeMultiplier() {
        return 1 + score;
    }

    /** Factor for the suspicion timeouts. */
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
