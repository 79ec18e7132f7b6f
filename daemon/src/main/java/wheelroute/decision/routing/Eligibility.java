package wheelroute.decision.routing;

/**
 * The eligibility of a worker for a request, or the reason that excludes the worker. The constants
 * are ordered from the best to the worst; a worker whose constant comes after {@link #EJECTED} gets
 * no request.
 */
enum Eligibility {
    ELIGIBLE,
    /**
     * The worker has far more attempts in flight per slot than the mean. It is used only if no
     * worker is eligible.
     */
    OVERLOADED,
    /**
     * The worker is ejected, and no trial is due for this request; a worker on trial is {@link
     * #ELIGIBLE}. An ejected worker is used as a last resort, or as a fallback as described at
     * {@code OutlierEjection.admitsAsFallback}.
     */
    EJECTED,
    /** The rules of {@code RetryRules.mayRunOn} exclude the worker. */
    EXCLUDED_BY_RETRY_RULES,
    /** The budget of {@code SlowStart.admits} excludes the worker. */
    EXCLUDED_BY_SLOW_START,
    /**
     * The worker has just rejected an attempt or could not be connected to; see {@code
     * OutlierEjection}.
     */
    BACKING_OFF;

    /** Returns whether the other constant is this one or a better one. */
    boolean includes(Eligibility other) {
        return other.ordinal() <= ordinal();
    }
}
