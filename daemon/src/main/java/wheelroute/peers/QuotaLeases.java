package wheelroute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much this dispatcher may use of the quota that all dispatchers share. The quota is divided
 * into one share for each dispatcher. Part of a share is guaranteed to its owner and never anybody
 * else's; the rest is held by lease, by the owner or, while that is not alive, by the next
 * dispatcher that is. A lease needs a majority of the share's voters, which are always the same
 * dispatchers. So no two hold it at once, even if they disagree on who is alive.
 */
public final class QuotaLeases {
    /** Sends lease messages to other dispatchers, and to this one itself. */
    public interface Transport {
        /** Sends a {@link Message.LeaseRequest} to the dispatcher of this number. */
        void sendRequest(int dispatcher, int sequenceNumber, LeaseTerms terms);

        /** Sends a {@link Message.LeaseRelease} to the dispatcher of this number. */
        void sendRelease(int dispatcher, int sequenceNumber, LeaseTerms terms);
    }

    /**
     * Which dispatchers are believed to be alive. It decides who requests a lease; who gets it is
     * decided by the voters alone.
     */
    public interface LivenessView {
        /** Whether the dispatcher of this number is believed to be alive. */
        boolean isAlive(int dispatcher);
    }

    /** Part of a share that is its owner's without a lease, even if it is cut off from all. */
    public static final double GUARANTEED_PART = 0.5;

    /** Number of voters on a share; fewer if there are not as many dispatchers. */
    static final int VOTERS = 5;

    /** With fewer dispatchers no leases are used: losing one would cost the others their shares. */
    private static final int MIN_DISPATCHERS = 3;

    /** Seconds between renewals: three rounds may be lost before a lease expires. */
    private static final double RENEWAL_INTERVAL = Lease.DURATION_SECONDS / 4;

    private final int own;
    private final int dispatchers;
    private final long incarnation;
    private final LivenessView liveness;
    private final Transport transport;
    private final Map<Integer, Lease> leases = new HashMap<>();
    private double nextRenewalAt = Double.NEGATIVE_INFINITY;
    private int lastSequenceNumber;

    /**
     * Creates the view of one dispatcher, which holds no lease yet.
     *
     * @param own this dispatcher's number
     * @param dispatchers number of dispatchers; they are numbered from 0, the same way everywhere
     * @param incarnation start of this process; another start is another holder
     */
    public QuotaLeases(
            int own,
            int dispatchers,
            long incarnation,
            LivenessView liveness,
            Transport transport) {
        this.own = own;
        this.dispatchers = dispatchers;
        this.incarnation = incarnation;
        this.liveness = liveness;
        this.transport = transport;
    }

    /** Numbers of the dispatchers that vote on a share: those that follow its owner. */
    static List<Integer> voters(int share, int dispatchers) {
        List<Integer> voters = new ArrayList<>();
        for (int i = 1; i <= Math.min(VOTERS, dispatchers); i++) {
            voters.add((share + i) % dispatchers);
        }
        return voters;
    }

    private boolean usesLeases() {
        return dispatchers >= MIN_DISPATCHERS;
    }

    /**
     * Requests, renews and releases leases as membership has it now, if that is due.
     *
     * @return seconds until the next call; positive infinity for never
     */
    public double renew(double now) {
        if (!usesLeases()) {
            return Double.POSITIVE_INFINITY;
        }
        if (now >= nextRenewalAt) {
            nextRenewalAt = now + RENEWAL_INTERVAL;
            renewAll(now);
        }
        return nextRenewalAt - now;
    }

    private void renewAll(double now) {
        boolean[] alive = new boolean[dispatchers];
        for (int i = 0; i < dispatchers; i++) {
            alive[i] = liveness.isAlive(i);
        }
        for (int share = 0; share < dispatchers; share++) {
            if (isResponsible(share, alive)) {
                request(now, share);
            } else {
                release(share);
            }
        }
    }

    /** Whether nobody is alive from the share's owner up to this dispatcher, itself excluded. */
    private boolean isResponsible(int share, boolean[] alive) {
        for (int at = share; at != own; at = (at + 1) % dispatchers) {
            if (alive[at]) {
                return false;
            }
        }
        return true;
    }

    private void request(double now, int share) {
        List<Integer> voters = voters(share, dispatchers);
        Lease lease = leases.computeIfAbsent(share, s -> new Lease(voters.size() / 2 + 1));
        int round = ++lastSequenceNumber;
        lease.beginRound(now, round);
        for (int voter : voters) {
            transport.sendRequest(voter, round, new LeaseTerms(share, incarnation));
        }
    }

    private void release(int share) {
        Lease lease = leases.remove(share);
        if (lease == null) {
            return;
        }
        lease.release();
        int sequenceNumber = ++lastSequenceNumber;
        for (int voter : voters(share, dispatchers)) {
            transport.sendRelease(voter, sequenceNumber, new LeaseTerms(share, incarnation));
        }
    }

    /** A voter's grant has arrived. */
    public void onGrant(double now, int sequenceNumber, LeaseTerms terms, PeerId voter) {
        Lease lease = leases.get(terms.share());
        if (lease != null && terms.incarnation() == incarnation) {
            lease.onGrant(now, sequenceNumber, voter);
        }
    }

    /** Releases all leases, as this process stops using the quota. */
    public void releaseAll() {
        for (int share : new ArrayList<>(leases.keySet())) {
            release(share);
        }
    }

    /** Usable part of one share at this moment, from 0 to 1. */
    public double usablePart(int share, double now) {
        double guaranteed = guaranteedPart(share);
        Lease lease = leases.get(share);
        boolean leased = usesLeases() && lease != null && lease.isHeld(now);
        return guaranteed + (leased ? 1 - GUARANTEED_PART : 0);
    }

    private double guaranteedPart(int share) {
        if (share != own) {
            return 0;
        }
        return usesLeases() ? GUARANTEED_PART : 1;
    }

    /** Usable part of the whole quota at this moment, from 0 to 1. */
    public double usableTotal(double now) {
        double sum = usablePart(own, now);
        for (int share : leases.keySet()) {
            sum += share == own ? 0 : usablePart(share, now);
        }
        return sum / dispatchers;
    }

    /** Numbers of the shares held by lease at this moment, in order. */
    public List<Integer> heldShares(double now) {
        return leases.keySet().stream()
                .filter(share -> leases.get(share).isHeld(now))
                .sorted()
                .toList();
    }
}
