package wheelroute.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The suspected members and the time that each has left to refute. This is Lifeguard's dynamic
 * suspicion timeout: it starts at its maximum and shrinks logarithmically with each independent
 * confirmation, as several members are less likely to be wrong than one.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class SuspicionTimers {
    /** Minimum timeout in probe intervals, for a size multiplier of 1. */
    private static final double MIN_TIMEOUT_PROBE_INTERVALS = 4;

    /** Maximum timeout, which applies without confirmations, as a multiple of the minimum. */
    private static final double MAX_TIMEOUT_FACTOR = 3;

    /** Number of independent suspicions, including the first, that lead to the minimum timeout. */
    private static final int EXPECTED_CONFIRMATIONS = 3;

    private final MemberTable table;
    private final LocalHealth localHealth;
    private final Map<PeerId, Suspicion> suspicions = new LinkedHashMap<>();

    private static final class Suspicion {
        final MemberRecord member;
        double startedAt;

        /** {@link PeerId#shortHash} of each member that suspects it independently. */
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

    /** Starts the timer of a member whose latest update makes it a suspect. */
    void start(MemberRecord member, double now) {
        cancel(member.id());
        Suspicion suspicion = new Suspicion(member, now);
        suspicion.confirmations.add(member.update().suspectedBy());
        suspicions.put(member.id(), suspicion);
    }

    /** Cancels the timer of a member that is no longer suspected. Ignores any other member. */
    void cancel(PeerId id) {
        suspicions.remove(id);
    }

    /**
     * Records an independent suspicion of a suspected member.
     *
     * @param suspectedBy {@link PeerId#shortHash} of the member that suspects it
     * @return whether it was recorded: it is new, and fewer than expected were known
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

    /** Whether the time of a suspected member to refute is over. */
    boolean isExpired(MemberRecord suspect, double now) {
        return now >= deadline(suspicions.get(suspect.id()));
    }

    /** Returns when the next timer expires; positive infinity if there is none. */
    double nextDeadline() {
        double next = Double.POSITIVE_INFINITY;
        for (Suspicion suspicion : suspicions.values()) {
            next = Math.min(next, deadline(suspicion));
        }
        return next;
    }

    /** Postpones all timers, after a stall of this process of so many seconds. */
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
