package wheelroute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this dispatcher may use of what all share, in parts of the whole. Each has a floor of its
 * own that is never anybody else's; the rest of each one's part is held by lease: by itself, or,
 * while it is not there, by the next one that is. A lease rests on the words of most of five,
 * always the same ones for a share, so that no two can hold it, whoever believes whom to be there.
 */
public final class QuotaLeases {
    /** Sends lease messages to other dispatchers, and to this one itself. */
    public interface Transport {
        /** Sends a {@link Message.LeaseRequest} to the dispatcher of this number. */
        void sendRequest(int dispatcher, int sequenceNumber, LeaseTerms terms);

        /** Sends a {@link Message.LeaseRelease} to the dispatcher of this number. */
        void sendRelease(int dispatcher, int sequenceNumber, LeaseTerms terms);
    }

    /** Who is believed to be there: it decides who asks, never who gets. */
    public interface LivenessView {
        boolean isThere(int dispatcher);
    }

    /** Of each one's part so much is its own for good: cut off from all, it may still use this. */
    public static final double FLOOR = 0.5;

    /** Those whose words a share rests on. */
    static final int COMMITTEE = 5;

    /** With fewer dispatchers than this one that is lost would take the others' shares with it. */
    private static final int FEWEST = 3;

    /** A lease is asked for anew so often: three rounds may be lost before it runs out. */
    private static final double ROUND = Lease.USED / 4;

    private final int own;
    private final int dispatchers;
    private final long life;
    private final LivenessView belief;
    private final Transport outside;
    private final Map<Integer, Lease> leases = new HashMap<>();
    private double nextRound = Double.NEGATIVE_INFINITY;
    private int lastNumber;

    /**
     * Of so many dispatchers, numbered from 0, all of which have the same numbers.
     *
     * @param life of this process: another start is another holder
     */
    public QuotaLeases(
            int own, int dispatchers, long life, LivenessView belief, Transport outside) {
        this.own = own;
        this.dispatchers = dispatchers;
        this.life = life;
        this.belief = belief;
        this.outside = outside;
    }

    /** Whose words a share rests on: the dispatchers that follow its own. */
    static List<Integer> committee(int share, int dispatchers) {
        List<Integer> members = new ArrayList<>();
        for (int i = 1; i <= Math.min(COMMITTEE, dispatchers); i++) {
            members.add((share + i) % dispatchers);
        }
        return members;
    }

    private boolean isDivided() {
        return dispatchers >= FEWEST;
    }

    /** Asks for what should be held from here on; when to come again. */
    public double woken(double now) {
        if (!isDivided()) {
            return Double.POSITIVE_INFINITY;
        }
        if (now >= nextRound) {
            nextRound = now + ROUND;
            boolean[] there = new boolean[dispatchers];
            for (int i = 0; i < dispatchers; i++) {
                there[i] = belief.isThere(i);
            }
            for (int share = 0; share < dispatchers; share++) {
                if (isOurs(share, there)) {
                    ask(now, share);
                } else {
                    giveBack(share);
                }
            }
        }
        return nextRound - now;
    }

    /** Our own, and those of all between us and the next before us that is there. */
    private boolean isOurs(int share, boolean[] there) {
        for (int at = share; at != own; at = (at + 1) % dispatchers) {
            if (there[at]) {
                return false;
            }
        }
        return true;
    }

    private void ask(double now, int share) {
        List<Integer> committee = committee(share, dispatchers);
        Lease lease = leases.computeIfAbsent(share, s -> new Lease(committee.size() / 2 + 1));
        int number = ++lastNumber;
        lease.asks(now, number);
        committee.forEach(
                member -> outside.sendRequest(member, number, new LeaseTerms(share, life)));
    }

    private void giveBack(int share) {
        Lease lease = leases.remove(share);
        if (lease != null) {
            lease.stops();
            int number = ++lastNumber;
            committee(share, dispatchers)
                    .forEach(
                            member ->
                                    outside.sendRelease(
                                            member, number, new LeaseTerms(share, life)));
        }
    }

    /** One of those asked has given its word. */
    public void granted(double now, int number, LeaseTerms lease, PeerId by) {
        Lease of = leases.get(lease.share());
        if (of != null && lease.incarnation() == life) {
            of.granted(now, number, by);
        }
    }

    /** All is given back, as this process goes; it uses nothing more. */
    public void leave() {
        new ArrayList<>(leases.keySet()).forEach(this::giveBack);
    }

    /** How much of this one's part may be used at this moment: 0 to 1. */
    public double of(int share, double now) {
        double floor = share != own ? 0 : isDivided() ? FLOOR : 1;
        Lease lease = leases.get(share);
        return floor + (isDivided() && lease != null && lease.isHeld(now) ? 1 - FLOOR : 0);
    }

    /** All that may be used at this moment, in parts of the whole. */
    public double whole(double now) {
        double sum = of(own, now);
        for (int share : leases.keySet()) {
            sum += share == own ? 0 : of(share, now);
        }
        return sum / dispatchers;
    }

    /** The numbers of those held by lease at this moment. */
    public List<Integer> held(double now) {
        return leases.keySet().stream()
                .filter(share -> leases.get(share).isHeld(now))
                .sorted()
                .toList();
    }
}
