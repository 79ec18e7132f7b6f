package wheelroute.decision.health;

/**
 * The health of one worker as this dispatcher observes it. This class only holds the state; {@link
 * OutlierEjection} decides on the transitions:
 *
 * <pre>
 *            eject                  markUnresponsive
 *   HEALTHY ───────> EJECTED ──────────────────────> UNRESPONSIVE
 *      ^                │  ^                               │
 *      ├── reinstate ───┘  └─────── recordResponse ────────┘
 *      └── recordRestart, from either state
 * </pre>
 *
 * <p>A healthy worker without recent failures that stops responding becomes UNRESPONSIVE directly,
 * and its first trial is then due as soon as it has no attempt in flight. {@code restore} sets the
 * state HEALTHY or EJECTED that the worker had in a predecessor process. A restart keeps the delay
 * of the next trial.
 *
 * <p>In addition, a worker in any state may be backing off for a short time.
 */
public final class WorkerHealth {
    private enum State {
        /** The worker gets requests as usual. */
        HEALTHY,
        /**
         * The worker gets attempts on trial, one at a time, and others only as a last resort or as
         * a fallback.
         */
        EJECTED,
        /** The worker is ejected because it stopped responding, and has sent no message since. */
        UNRESPONSIVE
    }

    private State state = State.HEALTHY;
    private double lastResponseAt = Double.NEGATIVE_INFINITY;
    private double lastSuccessAt = Double.NEGATIVE_INFINITY;
    private double backingOffUntil = Double.NEGATIVE_INFINITY;
    private double nextTrialAt = Double.NEGATIVE_INFINITY;
    private double trialDelaySeconds;
    private int consecutiveSuccesses;

    /**
     * Creates the health of a worker that is assumed to be healthy.
     *
     * @param firstTrialDelaySeconds the delay from an ejection to the first trial
     */
    public WorkerHealth(double firstTrialDelaySeconds) {
        trialDelaySeconds = firstTrialDelaySeconds;
    }

    /** Records a message of any kind from the worker, which ends the state UNRESPONSIVE. */
    public void recordResponse(double now) {
        lastResponseAt = now;
        if (state == State.UNRESPONSIVE) {
            state = State.EJECTED;
        }
    }

    /**
     * Returns the time of the last message from the worker, in seconds; negative infinity before
     * the first.
     */
    public double lastResponseAt() {
        return lastResponseAt;
    }

    /** Records a success and returns the number of successes since the last failure. */
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
        backingOffUntil = time;
    }

    /**
     * Returns whether the worker gets no attempts now because it has just rejected one or could not
     * be connected to.
     */
    public boolean isBackingOff(double now) {
        return now < backingOffUntil;
    }

    void eject() {
        if (state == State.HEALTHY) {
            state = State.EJECTED;
        }
    }

    void markUnresponsive() {
        state = State.UNRESPONSIVE;
    }

    /** Returns whether the worker has stopped responding and has sent no message since. */
    public boolean isUnresponsive() {
        return state == State.UNRESPONSIVE;
    }

    /** Returns whether the worker is ejected, which includes an unresponsive worker. */
    public boolean isEjected() {
        return state != State.HEALTHY;
    }

    /**
     * Schedules the next trial after the present delay.
     *
     * @param nextDelaySeconds the delay of the trial after that
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

    /**
     * Records a restart of the worker, whose new process is not judged by the faults of the old
     * one.
     */
    public void recordRestart() {
        state = State.HEALTHY;
    }

    /** Sets whether the worker is ejected, from the state of a predecessor process. */
    void restore(boolean ejected) {
        state = ejected ? State.EJECTED : State.HEALTHY;
    }
}
