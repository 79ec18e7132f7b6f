package wheelroute.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * The holder's state of a lease on a quota share. The lease is held for a fixed time once a quorum
 * of the voters has granted it. The holder's term starts before the holder sends its requests. A
 * voter's grant starts when the voter receives a request, and lasts longer than the term by the
 * maximum clock drift (see {@link LeaseVoter}). The holder's term has therefore ended before a
 * voter can grant the share to another holder, even if messages are delayed, lost or duplicated, or
 * a process is paused.
 *
 * <p>Times are in seconds on the holder's monotonic clock. Not thread-safe. The class is not final,
 * so that the model check can disable one safeguard at a time.
 */
public class Lease {
    /** Time for which a lease is held from its request on, in seconds on the holder's clock. */
    public static final double DURATION_SECONDS = 3;

    /** Upper bound of a clock's relative drift, 100 times the drift of ordinary machines. */
    public static final double MAX_CLOCK_DRIFT_FRACTION = 0.01;

    /**
     * Time for which a grant binds its voter, in seconds on the voter's clock. The grant outlasts
     * the lease even if the voter's clock runs fast and the holder's clock runs slow.
     */
    public static final double GRANT_DURATION_SECONDS =
            DURATION_SECONDS * (1 + MAX_CLOCK_DRIFT_FRACTION) / (1 - MAX_CLOCK_DRIFT_FRACTION);

    private final int quorum;
    private final double durationSeconds;
    private final Set<PeerId> grantedBy = new HashSet<>();
    private double heldUntil = Double.NEGATIVE_INFINITY;
    private double requestedAt;
    private int round;

    /**
     * Creates a lease that is not held.
     *
     * @param quorum number of grants needed
     */
    public Lease(int quorum) {
        this(quorum, DURATION_SECONDS);
    }

    Lease(int quorum, double durationSeconds) {
        this.quorum = quorum;
        this.durationSeconds = durationSeconds;
    }

    /** Begins a round of requests, to be sent after this call. Voids grants of earlier rounds. */
    public void beginRound(double now, int newRound) {
        requestedAt = now;
        round = newRound;
        grantedBy.clear();
    }

    /** Records a voter's grant. The grant that completes a quorum acquires or renews the lease. */
    public void onGrant(double now, int grantedRound, PeerId voter) {
        if (grantedRound == round && grantedBy.add(voter) && grantedBy.size() >= quorum) {
            heldUntil = Math.max(heldUntil, startOfTerm(now) + durationSeconds);
        }
    }

    /** Returns the start of the term for a grant received now, which is the time of the request. */
    double startOfTerm(double now) {
        return requestedAt;
    }

    /** Ends the lease at once. Grants that arrive later have no effect. */
    public void release() {
        heldUntil = Double.NEGATIVE_INFINITY;
        round = 0;
        grantedBy.clear();
    }

    /**
     * Returns whether the lease is held. Callers must check this at each use, with a time read just
     * before, since the process may have been paused since the last check.
     */
    public boolean isHeld(double now) {
        return now < heldUntil;
    }

    /** Returns a text of the state relative to now, by which the model check compares states. */
    String stateKey(double now) {
        String remaining = now < heldUntil ? heldUntil - now + "/" : "";
        return remaining + round + "/" + (now - requestedAt) + grantedBy;
    }

    /** Copies the state to a new lease, so that the model check can explore several next steps. */
    void copyTo(Lease other) {
        other.heldUntil = heldUntil;
        other.requestedAt = requestedAt;
        other.round = round;
        other.grantedBy.addAll(grantedBy);
    }
}
