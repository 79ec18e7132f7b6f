package wheelroute.decision.health;

/**
 * What this dispatcher holds of a worker's health: state only, as {@link OutlierEjection} decides.
 */
public final class WorkerHealth {
    private double heardAt = Double.NEGATIVE_INFINITY;
    private double succeededAt = Double.NEGATIVE_INFINITY;
    private double backoffUntil = Double.NEGATIVE_INFINITY;
    private double nextTrialAt = Double.NEGATIVE_INFINITY;
    private double trialDelay;
    private int consecutiveSuccesses;
    private boolean silent;
    private boolean ejected;

    /**
     * @param trialDelay seconds between an ejection and the first trial
     */
    public WorkerHealth(double trialDelay) {
        this.trialDelay = trialDelay;
    }

    /** Anything came from the worker. */
    public void heard(double now) {
        heardAt = now;
        silent = false;
    }

    double heardAt() {
        return heardAt;
    }

    /** It answered a request with its result; returns how many times in a row. */
    int succeeded(double now) {
        succeededAt = now;
        return ++consecutiveSuccesses;
    }

    double succeededAt() {
        return succeededAt;
    }

    void failed() {
        consecutiveSuccesses = 0;
    }

    /** Nothing is sent to it before then. */
    void backOffUntil(double time) {
        backoffUntil = time;
    }

    /**
     * Whether the worker gets no attempts at this time because it rejected one or could not be
     * reached.
     */
    public boolean isBackingOff(double now) {
        return now < backoffUntil;
    }

    void markSilent() {
        silent = true;
    }

    /** It has kept silent for longer than its attempts explain. */
    public boolean isSilent() {
        return silent;
    }

    void eject() {
        ejected = true;
    }

    /** Ejected: it gets one attempt at a time, on trial. */
    public boolean isEjected() {
        return ejected;
    }

    /** Takes over whether another process had ejected the worker. */
    public void setEjected(boolean value) {
        ejected = value;
    }

    /** The next trial comes after the present delay; the delay after that one is given. */
    void scheduleTrial(double now, double nextDelay) {
        nextTrialAt = now + trialDelay;
        trialDelay = nextDelay;
    }

    double nextTrialAt() {
        return nextTrialAt;
    }

    double trialDelay() {
        return trialDelay;
    }

    void reinstate(double newTrialDelay) {
        ejected = false;
        trialDelay = newTrialDelay;
    }

    /** The worker's process is another one now: old faults are not its own. */
    public void restarted() {
        ejected = false;
        silent = false;
    }
}
