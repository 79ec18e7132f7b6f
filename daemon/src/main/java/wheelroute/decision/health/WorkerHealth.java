package wheelroute.decision.health;

/**
 * The health of one worker as this dispatcher observes it. State only; {@link OutlierEjection}
 * decides on its transitions:
 *
 * <pre>
 *            eject                  markUnresponsive
 *   HEALTHY ───────> EJECTED ──────────────────────> UNRESPONSIVE
 *      ^                │  ^                               │
 *      ├── reinstate ───┘  └─────── recordResponse ────────┘
 *      └── recordRestart, from either state
 * </pre>
 *
 * <p>A healthy worker without recent failures that stops responding becomes UNRESPONSIVE directly;
 * its first trial is then due as soon as it has no attempt in flight. {@code restore} sets HEALTHY
 * or EJECTED as a predecessor process had it. A restart keeps the delay of the next trial.
 *
 * <p>Besides, a worker of any state may be backing off for a short time.
 */
public final class WorkerHealth {
    private enum State {
        /** It gets requests as usual. */
        HEALTHY,
        /**
         * It gets attempts on trial, one at a time, and others only as a last resort or fallback.
         */
        EJECTED,
        /** Ejected because it stopped responding, and not heard from since. */
        UNRESPONSIVE
    }

    private State state = State.HEALTHY;
    private double lastResponseAt = Double.NEGATIVE_INFINITY;
    private double lastSuccessAt = Double.NEGATIVE_INFINITY;
    private double backoffUntil = Double.NEGATIVE_INFINITY;
    private double nextTrialAt = Double.NEGATIVE_INFINITY;
    private double trialDelaySeconds;
    private int consecutiveSuccesses;

    /**
     * Creates the health of a worker that is healthy as far as is known.
     *
     * @param firstTrialDelaySeconds from an ejection to the first trial
     */
    public WorkerHealth(double firstTrialDelaySeconds) {
        trialDelaySeconds = firstTrialDelaySeconds;
    }

    /** Records any message from the worker. */
    public void recordResponse(double now) {
        lastResponseAt = now;
        if (state == State.UNRESPONSIVE) {
            state = State.EJECTED;
        }
    }

    /** Returns when the last message came from the worker, in seconds. */
    public double lastResponseAt() {
        return lastResponseAt;
    }

    /** Records a result; returns how many there were without a failure in between. */
    int recordSuccess(double now) {
        lastSuccessAt = now;
        return ++consecutiveSuccesses;
    }

    double lastSuccessAt() {
        return lastSuccessAt;
    }

    void recordFailure() {
        consecutiveSuccesses = 0;
    }

    void backOffUntil(double time) {
        backoffUntil = time;
    }

    /**
     * Whether the worker gets no attempts now because it has just rejected one or could not be
     * connected to.
     */
    public boolean isBackingOff(double now) {
        return now < backoffUntil;
    }

    void eject() {
        if (state == State.HEALTHY) {
            state = State.EJECTED;
        }
    }

    void markUnresponsive() {
        state = State.UNRESPONSIVE;
    }

    /** Whether it has stopped responding and has not been heard from since. */
    public boolean isUnresponsive() {
        return state == State.UNRESPONSIVE;
    }

    /** Whether it is ejected, unresponsive or not. */
    public boolean isEjected() {
        return state != State.HEALTHY;
    }

    /**
     * Schedules the next trial after the present delay.
     *
     * @param nextDelaySeconds the delay that is used the next time
     */
    void scheduleTrial(double now, double nextDelaySeconds) {
        nextTrialAt = now + trialDelaySeconds;
        trialDelaySeconds = nextDelaySeconds;
    }

    boolean isTrialDue(double now) {
        return now >= nextTrialAt;
    }

    double trialDelaySeconds() {
        return trialDelaySeconds;
    }

    void reinstate(double firstTrialDelaySeconds) {
        state = State.HEALTHY;
        trialDelaySeconds = firstTrialDelaySeconds;
    }

    /** Records that its process has restarted: it is not judged by the old one's faults. */
    public void recordRestart() {
        state = State.HEALTHY;
    }

    /** Sets whether it is ejected, as a predecessor process had it. */
    void restore(boolean ejected) {
        state = ejected ? State.EJECTED : State.HEALTHY;
    }
}
