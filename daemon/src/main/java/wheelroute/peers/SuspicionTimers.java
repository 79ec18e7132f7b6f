package wheelroute.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The suspected members and the time that each one has left to refute the suspicion. The timeout is
 * Lifeguard's dynamic suspicion timeout, which starts at its maximum and shrinks logarithmically
 * with each independent confirmation, as several members are less likely to be wrong than one.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class SuspicionTimers {
    /** Minimum timeout in probe intervals, for a size multiplier of 1. */
    private static final double MIN_TIMEOUT_PROBE_INTERVALS = 4;

    /** Ratio of the maximum timeout, which applies without confirmations, to the minimum. */
    private static final double MAX_TIMEOUT_FACTOR = 3;

    /** Number of independent suspicions, including the first, that lead to the minimum timeout. */
    private static final int EXPECTED_CONFIRMATIONS = 3;

    private final MemberTable table;
    private final LocalHealth localHealth;
    private final Map<PeerId, Suspicion> suspicions = new LinkedHashMap<>();

    private static final class Suspicion {
        final MemberRecord member;
        double startedAt;

        /** {@link PeerId#shortHash} of each member that reported the suspicion independently. */
        final List<Integer> confirmations = new ArrayList<>();

        Suspicion(MemberRecord member, double startedAt) {
            this.member = member;
            this.startedAt = startedAt;
        }
    }

    SuspicionTimers(MemberTable table, LocalHealth localHealth) {
        this.table = table;
        this.localHealth = localHealth;
    }

    /** Starts the timer of a member that has just become a suspect. Restarts a running timer. */
    void start(MemberRecord member, double now) {
        cancel(member.id());
        Suspicion suspicion = new Suspicion(member, now);
        suspicion.confirmations.add(member.update().suspectedBy());
        suspicions.put(member.id(), suspicion);
    }

    /** Cancels the timer of a member that is no longer suspected. Does nothing without a timer. */
    void cancel(PeerId id) {
        suspicions.remove(id);
    }

    /**
     * Records another member's suspicion of a member that is already suspected.
     *
     * @param suspectedBy {@link PeerId#shortHash} of the suspecting member
     * @return whether the suspicion was recorded; false if the suspecting member had been recorded
     *     before or enough suspicions had been
     */
    boolean confirm(PeerId id, int suspectedBy) {
        List<Integer> confirmations = suspicions.get(id).confirmations;
        if (confirmations.contains(suspectedBy) || confirmations.size() >= EXPECTED_CONFIRMATIONS) {
            return false;
        }
        confirmations.add(suspectedBy);
        return true;
    }

    /** Returns the suspected members in the order in which their timers were started. */
    List<MemberRecord> suspects() {
        List<MemberRecord> members = new ArrayList<>();
        for (Suspicion suspicion : suspicions.values()) {
            members.add(suspicion.member);
        }
        return members;
    }

    /** Returns whether the time that a suspected member has to refute is over. */
    boolean isExpired(MemberRecord suspect, double now) {
        return now >= deadline(suspicions.get(suspect.id()));
    }

    /** Returns when the next timer expires; positive infinity if no timer is running. */
    double nextDeadline() {
        double next = Double.POSITIVE_INFINITY;
        for (Suspicion suspicion : suspicions.values()) {
            next = Math.min(next, deadline(suspicion));
        }
        return next;
    }

    /** Postpones all timers by the duration of a stall of this process, in seconds. */
    void postpone(double seconds) {
        for (Suspicion suspicion : suspicions.values()) {
            suspicion.startedAt += seconds;
        }
    }

    private double deadline(Suspicion suspicion) {
        double timeout = timeoutSeconds(suspicion.confirmations.size());
        return suspicion.startedAt + timeout * localHealth.suspicionMultiplier();
    }

    private double timeoutSeconds(int confirmations) {
        double min =
                MIN_TIMEOUT_PROBE_INTERVALS
                        * table.sizeMultiplier()
                        * Membership.PROBE_INTERVAL_SECONDS;
        double max = MAX_TIMEOUT_FACTOR * min;
        int expected = Math.min(EXPECTED_CONFIRMATIONS, table.aliveCount() - 2);
        double confirmed = expected <= 1 ? 1 : Math.log(confirmations) / Math.log(expected);
        return Math.max(min, max - (max - min) * confirmed);
    }
}
