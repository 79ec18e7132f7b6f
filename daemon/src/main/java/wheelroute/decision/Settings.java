package wheelroute.decision;

import java.util.List;
import java.util.Map;

/**
 * What an instance is told at its start. Times in seconds; prices in parts of the whole service.
 *
 * @param position this dispatcher's place among all, from 0, or -1 where it is not told
 * @param fetchPrice for each fetch of what a key needs, as crossZonePrice for each launch to
 *     another zone
 * @param goneIsAdvice only a worker listed as draining must not be sent to; one that is gone may be
 * @param keyRest how long a key rests after a launch that may still be running
 */
public record Settings(
        long seed,
        Ids.Zone zone,
        int dispatchers,
        int position,
        double round,
        List<Offering> offerings,
        Map<Ids.Tenant, Double> quotas,
        double overShareValue,
        boolean listMustBeAsked,
        boolean tellsStart,
        double progressEvery,
        boolean reportsFreeSlots,
        boolean mayCancel,
        boolean mayCopy,
        boolean clientsHearRetryAfter,
        double longestRetryAfter,
        int mostLaunches,
        double coldShare,
        double coldFor,
        double tipMultiple,
        double tipWindow,
        double crossZonePrice,
        double fetchPrice,
        boolean goneIsAdvice,
        double keyRest) {

    /**
     * How long a launch that has begun goes on without a word of it; for ever where none is told.
     */
    public double begunAfter() {
        return tellsStart ? 0 : progressEvery > 0 ? progressEvery : Double.POSITIVE_INFINITY;
    }

    /** The seed is new with every file, and changes nothing that an operator set. */
    public Settings withSeed(long other) {
        return new Settings(
                other,
                zone,
                dispatchers,
                position,
                round,
                offerings,
                quotas,
                overShareValue,
                listMustBeAsked,
                tellsStart,
                progressEvery,
                reportsFreeSlots,
                mayCancel,
                mayCopy,
                clientsHearRetryAfter,
                longestRetryAfter,
                mostLaunches,
                coldShare,
                coldFor,
                tipMultiple,
                tipWindow,
                crossZonePrice,
                fetchPrice,
                goneIsAdvice,
                keyRest);
    }

    /**
     * A row of the table of offerings.
     *
     * @param quoted answers within this earn full value
     * @param stretch the quoted time grows by this many times the submission's own work
     * @param lateValue the part of the value that an answer after the quoted time still earns
     * @param window how long repeats are known, from the first send that may have run
     * @param model the one model that runs it, or null for any
     * @param inTurn one at a time for each key, in the order of their taking
     */
    public record Offering(
            Ids.Offering id,
            Effect effect,
            Group group,
            double quoted,
            double stretch,
            double value,
            double lateValue,
            double window,
            Ids.Model model,
            boolean inTurn) {
        double quotedFor(double work) {
            return quoted + stretch * work;
        }

        /** Also once it may have run: a repeat anywhere does no harm. */
        boolean harmlessAgain() {
            return effect == Effect.IDEMPOTENT
                    || (effect == Effect.DEDUPLICATED && group == Group.ALL);
        }
    }
}
