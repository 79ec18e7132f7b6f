package wheelroute.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * A lease on a quota share as its holder sees it: it is held for a fixed time once a quorum of the
 * voters has granted it. The holder's term starts before it sends its requests. A voter's grant
 * starts when it receives one, and lasts longer by the maximum clock drift (see {@link
 * LeaseVoter}). So the holder's term has ended before a voter can grant the share to another
 * holder, even if messages are delayed, lost or duplicated, or a process is paused.
 *
 * <p>Times are in seconds on the holder's monotonic clock. Not thread-safe. Not final, so that the
 * model check can disable one safeguard at a time.
 */
public class Lease {
    /** How long a lease is held after its request, in seconds on the holder's clock. */
    public static final double DURATION_SECONDS = 3;

    /** Bound on the relative drift of a clock's rate, 100 times that of ordinary machines. */
    public static final double MAX_CLOCK_DRIFT_FRACTION = 0.01;

    /**
     * How long a grant binds its voter, in seconds on the voter's clock: long enough if that clock
     * runs fast and the holder's clock runs slow.
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

    /** Begins a round of requests, to be sent afterwards. Grants of earlier rounds become void. */
    public void beginRound(double now, int newRound) {
        requestedAt = now;
        round = newRound;
        grantedBy.clear();
    }

    /** Records a voter's grant. The one that completes the quorum acquires or renews the lease. */
    public void onGrant(double now, int grantedRound, PeerId voter) {
        if (grantedRound == round && grantedBy.add(voter) && grantedBy.size() >= quorum) {
            heldUntil = Math.max(heldUntil, startOfTerm(now) + durationSeconds);
        }
    }

    /** Returns when the term starts that a grant arriving now counts for: at the request. */
    double startOfTerm(double now) {
        return requestedAt;
    }

    /** Releases the lease. Grants that arrive later have no effect. */
    public void release() {
        heldUntil = Double.NEGATIVE_INFINITY;
        round = 0;
        grantedBy.clear();
    }

    /**
     * Whether the lease is held. Must be checked at each use with the time read just before, since
     * the process may have been paused meanwhile.
     */
    public boolean isHeld(double now) {
        return now < heldUntil;
    }

    /** Returns the state relative to now as a text, by which the model check compares states. */
    String stateKey(double now) {
        String remaining = now < heldUntil ? heldUntil - now + "/" : "";
        return remaining + round + "/" + (now - requestedAt) + grantedBy;
    }

    /** Copies the state to a new lease, for the model check to explore several next steps. */
    void copyTo(Lease other) {
        other.heldUntil = heldUntil;
        other.requestedAt = requestedAt;
        other.round = round;
        other.grantedBy.addAll(grantedBy);
    }
}
