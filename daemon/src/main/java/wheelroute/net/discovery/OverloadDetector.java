package wheelroute.net.discovery;

/**
 * Tells an overloaded discovery from one that is down, by how the calls fail that wait for nothing.
 *
 * <p>A service that is down fails all calls in one way: it refuses them, or a proxy answers in its
 * place at once, or they find silence. A service with a queue does both: it turns some calls away
 * at once, which proves that it is up, and leaves others waiting. Both ways since the last answer
 * mean overload.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
public final class OverloadDetector {
    /** A call that is rejected within this time was turned away and not queued. */
    static final double PROMPT_REJECTION = 0.5;

    /** A call that has no answer for so long stood in a queue, or discovery is down. */
    static final double QUEUED = 1;

    private boolean turnedAway;
    private boolean leftWaiting;

    /**
     * A call that discovery was not asked to hold has failed.
     *
     * @param duration seconds from the call's begin to its failure
     * @param rejected discovery answered it with an error status
     */
    public void onFailure(double duration, boolean rejected) {
        turnedAway |= rejected && duration <= PROMPT_REJECTION;
        leftWaiting |= duration >= QUEUED;
    }

    /** A call was answered. */
    public void onAnswer() {
        turnedAway = false;
        leftWaiting = false;
    }

    /** Whether discovery is up, and has more callers than it serves. */
    public boolean isOverloaded() {
        return turnedAway && leftWaiting;
    }
}
