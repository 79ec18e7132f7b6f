package wheelroute.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * A lease on a quota share as its holder sees it: it is held for a fixed time once a majority of
 * the voters has granted it. The holder counts that time from before it sent its requests, each
 * voter counts from after it received one and for longer by the drift of their clocks (see {@link
 * LeaseVoter}). So the holder has stopped before a voter can grant the share to another one,
 * whatever is delayed, lost, duplicated or paused.
 *
 * <p>Not final so that the model check can take out one safeguard at a time.
 */
public class Lease {
    /** How long a lease is held from its request on, in seconds of the holder's clock. */
    public static final double DURATION_SECONDS = 3;

    /** Bound on the relative drift of a clock's rate: 100 times that of ordinary machines. */
    public static final double MAX_CLOCK_DRIFT_FRACTION = 0.01;

    /**
     * How long a voter's grant binds it, in seconds of its own clock: that may run fast while the
     * holder's runs slow.
     */
    public static final double GRANT_DURATION_SECONDS =
            DURATION_SECONDS * (1 + MAX_CLOCK_DRIFT_FRACTION) / (1 - MAX_CLOCK_DRIFT_FRACTION);

    private final int majority;
    private final double duration;
    private final Set<PeerId> grantedBy = new HashSet<>();
    private double heldUntil = Double.NEGATIVE_INFINITY;
    private double requestedAt;
    private int round;

    /**
     * Creates a lease that is not held.
     *
     * @param majority number of grants needed
     */
    public Lease(int majority) {
        this(majority, DURATION_SECONDS);
    }

    Lease(int majority, double duration) {
        this.majority = majority;
        this.duration = duration;
    }

    /** Begins a round of requests, which are sent after this; earlier rounds' grants are void. */
    public void beginRound(double now, int newRound) {
        requestedAt = now;
        round = newRound;
        grantedBy.clear();
    }

    /** A voter's grant has arrived; the lease is held, or extended, by the one for a majority. */
    public void onGrant(double now, int grantedRound, PeerId voter) {
        if (grantedRound == round && grantedBy.add(voter) && grantedBy.size() >= majority) {
            heldUntil = Math.max(heldUntil, startOfTerm(now) + duration);
        }
    }

    /** When the term begins that a grant arriving now counts for: at the request. */
    double startOfTerm(double now) {
        return requestedAt;
    }

    /** Stops using the lease, whatever grants still arrive. */
    public void release() {
        heldUntil = Double.NEGATIVE_INFINITY;
        round = 0;
        grantedBy.clear();
    }

    /**
     * Whether the lease is held. To be asked at each use, with the time read just then, as the
     * process may have been paused before.
     */
    public boolean isHeld(double now) {
        return now < heldUntil;
    }

    /** The whole state relative to now as a text, by which the model check compares states. */
    String stateKey(double now) {
        String remaining = now < heldUntil ? heldUntil - now + "/" : "";
        return remaining + round + "/" + (now - requestedAt) + grantedBy;
    }

    /** Copies the state to a new lease; the model check goes on from one state in several ways. */
    void copyTo(Lease other) {
        other.heldUntil = heldUntil;
        other.requestedAt = requestedAt;
        other.round = round;
        other.grantedBy.addAll(grantedBy);
    }
}
