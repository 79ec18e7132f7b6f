package wheelroute.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * Votes on leases of quota shares. A voter grants a share to one holder at a time, and to another
 * holder only after the last grant has expired or was released.
 *
 * <p>After its start a voter is in quarantine and grants nothing, since an earlier process of the
 * same dispatcher may have given grants that are still valid and unknown to the new process.
 *
 * <p>Times are in seconds on the voter's monotonic clock. Not thread-safe. The class is not final,
 * so that the model check can disable one safeguard at a time.
 */
public class LeaseVoter {
    /**
     * A grant that binds this voter.
     *
     * @param incarnation start time of the holder's process in milliseconds; a restarted process
     *     counts as another holder
     * @param round the holder's latest round of requests
     * @param expiresAt time from which the voter may grant the share to another holder
     */
    record Grant(PeerId holder, long incarnation, int round, double expiresAt) {}

    private final double grantDurationSeconds;
    private final Map<Integer, Grant> grants = new HashMap<>();
    private double quarantineEndsAt;

    /**
     * Creates a voter that is in quarantine for {@link Lease#GRANT_DURATION_SECONDS}.
     *
     * @param now time when the process started, or started to receive requests
     */
    public LeaseVoter(double now) {
        this(now, Lease.GRANT_DURATION_SECONDS, Lease.GRANT_DURATION_SECONDS);
    }

    LeaseVoter(double now, double grantDurationSeconds, double quarantineSeconds) {
        this.grantDurationSeconds = grantDurationSeconds;
        quarantineEndsAt = now + quarantineSeconds;
    }

    /**
     * Votes on a request. A grant binds this voter from this call until it expires.
     *
     * @return whether the share is granted
     */
    public boolean requestVote(double now, LeaseTerms terms, PeerId holder, int round) {
        if (now < quarantineEndsAt) {
            return false;
        }
        Grant last = grants.get(terms.share());
        boolean isRenewal = last != null && isSameHolder(last, holder, terms.incarnation());
        if (last != null && now < last.expiresAt && !isRenewal) {
            return false;
        }
        int latestRound = isRenewal ? Math.max(last.round, round) : round;
        double expiresAt = now + grantDurationSeconds;
        grants.put(terms.share(), new Grant(holder, terms.incarnation(), latestRound, expiresAt));
        return true;
    }

    boolean isSameHolder(Grant last, PeerId holder, long incarnation) {
        return last.holder.equals(holder) && last.incarnation == incarnation;
    }

    /** Removes the holder's grant, unless the holder has sent a later request for the share. */
    public void release(LeaseTerms terms, PeerId holder, int round) {
        Grant last = grants.get(terms.share());
        if (last != null
                && isSameHolder(last, holder, terms.incarnation())
                && isLatestRound(last, round)) {
            grants.remove(terms.share());
        }
    }

    boolean isLatestRound(Grant last, int round) {
        return round >= last.round;
    }

    /** Returns a text of the state relative to now, by which the model check compares states. */
    String stateKey(double now) {
        StringBuilder key =
                new StringBuilder(now < quarantineEndsAt ? quarantineEndsAt - now + " " : "");
        for (Map.Entry<Integer, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            if (now < grant.expiresAt) {
                key.append(entry.getKey()).append(grant.holder.name()).append(grant.incarnation);
                key.append('/').append(grant.round).append('/').append(grant.expiresAt - now);
            }
        }
        return key.toString();
    }

    /** Copies the state to a new voter, so that the model check can explore several next steps. */
    void copyTo(LeaseVoter other) {
        other.grants.putAll(grants);
        other.quarantineEndsAt = quarantineEndsAt;
    }
}
