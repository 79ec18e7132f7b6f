package wheelroute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines how much this dispatcher may use of the quota that all dispatchers share. The quota is
 * divided into one share for each dispatcher, which owns the share. A fraction of a share is
 * guaranteed to the owner. The rest may be used by the holder of a lease, which is the owner or,
 * while the owner is not alive, the next dispatcher that is alive. A lease needs a quorum of the
 * share's voters, which are always the same dispatchers. A lease therefore has at most one holder
 * even if dispatchers disagree on who is alive.
 *
 * <p>Times are in seconds on any monotonic clock. Not thread-safe.
 */
public final class QuotaLeases {
    /** Sends lease messages to other dispatchers and to this dispatcher itself. */
    public interface Transport {
        /** Sends a {@link Message.LeaseRequest} to the dispatcher with the given number. */
        void sendRequest(int dispatcher, int sequenceNumber, LeaseTerms terms);

        /** Sends a {@link Message.LeaseRelease} to the dispatcher with the given number. */
        void sendRelease(int dispatcher, int sequenceNumber, LeaseTerms terms);
    }

    /**
     * Liveness of dispatchers as seen by this dispatcher. The view only affects who requests a
     * lease. The voters decide who holds a lease.
     */
    public interface LivenessView {
        /** Returns whether the dispatcher with the given number is believed to be alive. */
        boolean isAlive(int dispatcher);
    }

    /** Fraction of a share that the owner may use without a lease, even when partitioned. */
    public static final double GUARANTEED_FRACTION = 0.5;

    /** Maximum number of voters on a share. In smaller clusters all dispatchers vote. */
    static final int MAX_VOTERS = 5;

    /** Minimum for using leases. With fewer dispatchers, one failure would prevent a quorum. */
    private static final int MIN_DISPATCHERS_FOR_LEASES = 3;

    /**
     * Interval between rounds of requests. The interval is short enough that a lease lapses only
     * after three consecutive rounds have been lost.
     */
    private static final double RENEWAL_INTERVAL_SECONDS = Lease.DURATION_SECONDS / 4;

    private final int ownNumber;
    private final int dispatchers;
    private final long incarnation;
    private final LivenessView liveness;
    private final Transport transport;
    private final Map<Integer, Lease> leases = new HashMap<>();
    private double nextRenewalAt = Double.NEGATIVE_INFINITY;
    private int lastSequenceNumber;

    /**
     * Creates the state of a dispatcher that holds no lease.
     *
     * @param ownNumber number of this dispatcher
     * @param dispatchers number of dispatchers, which are numbered from 0 in the same way
     *     everywhere
     * @param incarnation start time of this process in milliseconds; a restarted process counts as
     *     another holder
     */
    public QuotaLeases(
            int ownNumber,
            int dispatchers,
            long incarnation,
            LivenessView liveness,
            Transport transport) {
        this.ownNumber = ownNumber;
        this.dispatchers = dispatchers;
        this.incarnation = incarnation;
        this.liveness = liveness;
        this.transport = transport;
    }

    /** Returns the numbers of a share's voters, which are the dispatchers that follow the owner. */
    static List<Integer> voters(int share, int dispatchers) {
        List<Integer> voters = new ArrayList<>();
        for (int i = 1; i <= Math.min(MAX_VOTERS, dispatchers); i++) {
            voters.add((share + i) % dispatchers);
        }
        return voters;
    }

    private boolean usesLeases() {
        return dispatchers >= MIN_DISPATCHERS_FOR_LEASES;
    }

    /**
     * Requests, renews and releases leases by the current liveness view if a renewal is due.
     *
     * @return seconds until the next renewal; positive infinity if leases are not used
     */
    public double renew(double now) {
        if (!usesLeases()) {
            return Double.POSITIVE_INFINITY;
        }
        if (now >= nextRenewalAt) {
            nextRenewalAt = now + RENEWAL_INTERVAL_SECONDS;
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

    /** Returns whether this dispatcher is the first alive one, counted from the share's owner. */
    private boolean isResponsible(int share, boolean[] alive) {
        for (int number = share; number != ownNumber; number = (number + 1) % dispatchers) {
            if (alive[number]) {
                return false;
            }
        }
        return true;
    }

    private void request(double now, int share) {
        List<Integer> voters = voters(share, dispatchers);
        int majority = voters.size() / 2 + 1;
        Lease lease = leases.computeIfAbsent(share, absent -> new Lease(majority));
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

    /** Records a voter's grant. Ignores grants to earlier processes and for released leases. */
    public void onGrant(double now, int sequenceNumber, LeaseTerms terms, PeerId voter) {
        Lease lease = leases.get(terms.share());
        if (lease != null && terms.incarnation() == incarnation) {
            lease.onGrant(now, sequenceNumber, voter);
        }
    }

    /** Releases all leases. The guaranteed fraction of the own share remains usable. */
    public void releaseAll() {
        for (int share : new ArrayList<>(leases.keySet())) {
            release(share);
        }
    }

    /** Returns the fraction of a share that this dispatcher may use now, from 0 to 1. */
    public double usableFraction(int share, double now) {
        double guaranteed = guaranteedFraction(share);
        Lease lease = leases.get(share);
        boolean isLeased = usesLeases() && lease != null && lease.isHeld(now);
        return guaranteed + (isLeased ? 1 - GUARANTEED_FRACTION : 0);
    }

    private double guaranteedFraction(int share) {
        if (share != ownNumber) {
            return 0;
        }
        return usesLeases() ? GUARANTEED_FRACTION : 1;
    }

    /** Returns the fraction of the whole quota that this dispatcher may use now, from 0 to 1. */
    public double usableTotalFraction(double now) {
        double sum = usableFraction(ownNumber, now);
        for (int share : leases.keySet()) {
            sum += share == ownNumber ? 0 : usableFraction(share, now);
        }
        return sum / dispatchers;
    }

    /** Returns the numbers of the shares whose lease this dispatcher holds, in ascending order. */
    public List<Integer> heldShares(double now) {
        return leases.keySet().stream()
                .filter(share -> leases.get(share).isHeld(now))
                .sorted()
                .toList();
    }
}
