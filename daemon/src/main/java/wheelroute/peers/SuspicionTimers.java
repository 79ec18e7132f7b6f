package wheelroute.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Suspected members and how long each still has to refute. Lifeguard's dynamic timeout: it begins
 * long and shrinks logarithmically with each independent confirmation, as many members that miss
 * the same one are less likely to be wrong.
 */
final class SuspicionTimers {
    /** Least timeout in probe intervals, times the cluster's size multiplier. */
    private static final double MIN_TIMEOUT_MULTIPLIER = 4;

    /** Timeout without a confirmation, as a multiple of the least. */
    private static final double MAX_TIMEOUT_MULTIPLIER = 3;

    /** Number of independent suspicions, the first included, that bring the least timeout. */
    private static final int EXPECTED_CONFIRMATIONS = 3;

    private final MemberTable table;
    private final LocalHealth localHealth;
    private final Map<PeerId, Suspicion> suspicions = new LinkedHashMap<>();

    /** The suspicion of one member. */
    private static final class Suspicion {
        final MemberRecord member;
        double startedAt;

        /** Short hashes of the members that suspect it independently of each other. */
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

    /** Cancels the timer of a member, if it has one: it has refuted, is dead or has left. */
    void cancel(PeerId id) {
        suspicions.remove(id);
    }

    /**
     * Counts an independent suspicion of a member.
     *
     * @param suspectedBy short hash of the member that suspects it
     * @return whether it was a new one, and more are of use
     */
    boolean confirm(PeerId id, int suspectedBy) {
        List<Integer> confirmations = suspicions.get(id).confirmations;
        if (confirmations.contains(suspectedBy) || confirmations.size() >= EXPECTED_CONFIRMATIONS) {
            return false;
        }
        confirmations.add(suspectedBy);
        return true;
    }

    /** The suspected members, the earliest suspected first. */
    List<MemberRecord> suspects() {
        List<MemberRecord> members = new ArrayList<>();
        for (Suspicion suspicion : suspicions.values()) {
            members.add(suspicion.member);
        }
        return members;
    }

    /** Whether a suspected member has had its time to refute. */
    boolean isExpired(MemberRecord suspect, double now) {
        return now >= deadline(suspicions.get(suspect.id()));
    }

    /** When the next timer expires; positive infinity if none runs. */
    double nextDeadline() {
        double next = Double.POSITIVE_INFINITY;
        for (Suspicion suspicion : suspicions.values()) {
            next = Math.min(next, deadline(suspicion));
        }
        return next;
    }

    /** Moves all timers on, as this process did not run for so many seconds. */
    void postpone(double seconds) {
        for (Suspicion suspicion : suspicions.values()) {
            suspicion.startedAt += seconds;
        }
    }

    private double deadline(Suspicion suspicion) {
        double min =
                MIN_TIMEOUT_MULTIPLIER * table.sizeMultiplier() * Membership.PROBE_INTERVAL_SECONDS;
        double max = MAX_TIMEOUT_MULTIPLIER * min;
        int expected = Math.min(EXPECTED_CONFIRMATIONS, table.aliveCount() - 2);
        double confirmed =
                expected <= 1 ? 1 : Math.log(suspicion.confirmations.size()) / Math.log(expected);
        double timeout = Math.max(min, max - (max - min) * confirmed);
        return suspicion.startedAt + timeout * localHealth.suspicionMultiplier();
    }
}
