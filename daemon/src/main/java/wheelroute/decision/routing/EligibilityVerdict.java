package wheelroute.decision.routing;

/**
 * Whether a worker may get a request, or else what excludes it. From the best to the worst; a
 * worker after {@link #EJECTED} gets nothing.
 */
enum EligibilityVerdict {
    ELIGIBLE,
    /** Used only where no worker is eligible. */
    OVERFULL,
    /**
     * Ejected, and no trial is due for this request; a worker on trial is {@link #ELIGIBLE}. Used
     * as a last resort, or as a fallback, see {@code OutlierEjection.admitsAsFallback}.
     */
    EJECTED,
    /** See {@code RetryRules.mayRunOn}. */
    EXCLUDED_BY_RETRY_RULES,
    /** See {@code SlowStart.admits}. */
    EXCLUDED_BY_SLOW_START,
    /** It just rejected an attempt or could not be connected to; see {@code OutlierEjection}. */
    BACKING_OFF;

    /** Whether the other verdict is this one or a better one. */
    boolean includes(EligibilityVerdict other) {
        return other.ordinal() <= ordinal();
    }
}
