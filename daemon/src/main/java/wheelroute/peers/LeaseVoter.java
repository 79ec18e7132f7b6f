package wheelroute.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * This dispatcher's votes on leases of quota shares: a share is granted to one holder at a time,
 * and to another one only after the grant has expired or was released.
 *
 * <p>Not final so that the model check can take out one safeguard at a time.
 */
public class LeaseVoter {
    /**
     * A grant that binds this voter.
     *
     * @param incarnation start of the holder's process; another start is another holder
     * @param round the holder's latest round of requests
     * @param expiresAt when the voter is free again
     */
    record Grant(PeerId holder, long incarnation, int round, double expiresAt) {}

    private final double grantDuration;
    private final Map<Integer, Grant> grants = new HashMap<>();

    /**
     * An earlier process of this dispatcher may have given grants that this one knows nothing of.
     */
    private double silentUntil;

    /**
     * Creates a voter that grants nothing for {@link Lease#GRANT_DURATION_SECONDS}.
     *
     * @param now start of the process, or of its listening
     */
    public LeaseVoter(double now) {
        this(now, Lease.GRANT_DURATION_SECONDS, Lease.GRANT_DURATION_SECONDS);
    }

    LeaseVoter(double now, double grantDuration, double initialSilence) {
        this.grantDuration = grantDuration;
        silentUntil = now + initialSilence;
    }

    /**
     * Votes on a request, and is bound by a grant from now on.
     *
     * @return whether the share is granted
     */
    public boolean requestVote(double now, int share, PeerId holder, long incarnation, int round) {
        if (now < silentUntil) {
            return false;
        }
        Grant last = grants.get(share);
        boolean renewal = last != null && isSameHolder(last, holder, incarnation);
        if (last != null && now < last.expiresAt && !renewal) {
            return false;
        }
        int latestRound = renewal ? Math.max(last.round, round) : round;
        grants.put(share, new Grant(holder, incarnation, latestRound, now + grantDuration));
        return true;
    }

    boolean isSameHolder(Grant last, PeerId holder, long incarnation) {
        return last.holder.equals(holder) && last.incarnation == incarnation;
    }

    /** The holder has released the share; ignored if it has requested it again since. */
    public void release(int share, PeerId holder, long incarnation, int round) {
        Grant last = grants.get(share);
        if (last != null && isSameHolder(last, holder, incarnation) && isLatestRound(last, round)) {
            grants.remove(share);
        }
    }

    boolean isLatestRound(Grant last, int round) {
        return round >= last.round;
    }

    /** The whole state relative to now as a text, by which the model check compares states. */
    String stateKey(double now) {
        StringBuilder key = new StringBuilder(now < silentUntil ? silentUntil - now + " " : "");
        for (Map.Entry<Integer, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            if (now < grant.expiresAt) {
                key.append(entry.getKey()).append(grant.holder.name()).append(grant.incarnation);
                key.append('/').append(grant.round).append('/').append(grant.expiresAt - now);
            }
        }
        return key.toString();
    }

    /** Copies the state to a new voter; the model check goes on from one state in several ways. */
    void copyTo(LeaseVoter other) {
        other.grants.putAll(grants);
        other.silentUntil = silentUntil;
    }
}
