package wheelroute.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A state of the model that {@link LeaseModelCheckTest} explores. A state consists of three
 * dispatchers with real leases and voters, the network between them, and the steps that led to the
 * state.
 */
final class LeaseModel {
    private static final int MEMBERS = 3;
    private static final int HOLDERS = 2;
    private static final int SHARE = 0;

    /** Need not equal the production value, since the model depends only on ratios of times. */
    private static final double LEASE_DURATION_SECONDS = 10;

    /** Clock drift that is large enough to have an effect within the duration of one lease. */
    static final double CLOCK_DRIFT_FRACTION = 0.1;

    private static final double GRANT_DURATION_SECONDS =
            LEASE_DURATION_SECONDS * (1 + CLOCK_DRIFT_FRACTION) / (1 - CLOCK_DRIFT_FRACTION);
    private static final double[] TIME_STEPS_SECONDS = {1, 9.5, 12.5};
    static final PeerId[] NAMES = {new PeerId("a"), new PeerId("b"), new PeerId("c")};

    /** Member names for a paused first holder and a later process of the same name. */
    static final PeerId[] TWO_INCARNATIONS = {NAMES[0], NAMES[0], NAMES[2]};

    /** Rules on which the safety of the protocol depends. NONE stands for no disabled rule. */
    enum Safeguard {
        NONE,
        TERM_STARTS_AT_REQUEST,
        ONE_HOLDER_AT_A_TIME,
        QUARANTINE_AFTER_START,
        MARGIN_FOR_DRIFT,
        QUORUM,
        CHECK_AT_USE,
        INCARNATION,
        LATEST_RELEASE
    }

    /** Types of datagrams, in the order in which their deliveries are listed as steps. */
    private enum DatagramType {
        REQUEST,
        RELEASE,
        GRANT
    }

    /** A datagram that was sent, which may arrive at any time, never, or more than once. */
    private record LeaseDatagram(
            DatagramType type, int from, int to, long incarnation, int round, String text)
            implements Comparable<LeaseDatagram> {
        private static final Comparator<LeaseDatagram> ORDER =
                Comparator.comparing(LeaseDatagram::type).thenComparing(LeaseDatagram::text);

        LeaseDatagram(DatagramType type, int from, int to, long incarnation, int round) {
            this(
                    type,
                    from,
                    to,
                    incarnation,
                    round,
                    type + " " + from + to + "-" + incarnation + "-" + round);
        }

        @Override
        public int compareTo(LeaseDatagram other) {
            return ORDER.compare(this, other);
        }
    }

    /** A transition, whose action changes a state to the next one. */
    record Step(String name, Consumer<LeaseModel> action) {}

    final Safeguard disabled;
    final double[] rates;
    final PeerId[] names;
    double time;
    final LeaseVoter[] voters = new LeaseVoter[MEMBERS];
    final Lease[] leases = new Lease[HOLDERS];
    final long[] incarnations = new long[MEMBERS];
    final int[] rounds = new int[HOLDERS];
    final boolean[] paused = new boolean[HOLDERS];

    /** True for each holder that would use the lease without checking the time at each use. */
    final boolean[] believesHeld = new boolean[HOLDERS];

    final Set<LeaseDatagram> messages = new TreeSet<>();
    final List<String> history = new ArrayList<>();

    LeaseModel(Safeguard disabled, double[] rates, PeerId[] names) {
        this.disabled = disabled;
        this.rates = rates;
        this.names = names;
        for (int i = 0; i < MEMBERS; i++) {
            // The voter started so long ago that the quarantine is over.
            voters[i] = newVoter(-100 * LEASE_DURATION_SECONDS);
            incarnations[i] = names == TWO_INCARNATIONS && i == 1 ? 9 : 1;
        }
        for (int i = 0; i < HOLDERS; i++) {
            leases[i] = newLease();
        }
    }

    LeaseModel(LeaseModel other) {
        this(other.disabled, other.rates, other.names);
        time = other.time;
        for (int i = 0; i < MEMBERS; i++) {
            incarnations[i] = other.incarnations[i];
            voters[i] = other.voters[i];
        }
        for (int i = 0; i < HOLDERS; i++) {
            other.leases[i].copyTo(leases[i]);
            rounds[i] = other.rounds[i];
            paused[i] = other.paused[i];
            believesHeld[i] = other.believesHeld[i];
        }
        messages.addAll(other.messages);
        history.addAll(other.history);
    }

    private LeaseVoter newVoter(double now) {
        double grantDuration =
                disabled == Safeguard.MARGIN_FOR_DRIFT
                        ? LEASE_DURATION_SECONDS
                        : GRANT_DURATION_SECONDS;
        double quarantine = disabled == Safeguard.QUARANTINE_AFTER_START ? 0 : grantDuration;
        return new LeaseVoter(now, grantDuration, quarantine) {
            @Override
            boolean isSameHolder(Grant last, PeerId holder, long incarnation) {
                return disabled == Safeguard.ONE_HOLDER_AT_A_TIME
                        || (disabled == Safeguard.INCARNATION
                                ? last.holder().equals(holder)
                                : super.isSameHolder(last, holder, incarnation));
            }

            @Override
            boolean isLatestRound(Grant last, int round) {
                return disabled == Safeguard.LATEST_RELEASE || super.isLatestRound(last, round);
            }
        };
    }

    private Lease newLease() {
        return new Lease(disabled == Safeguard.QUORUM ? 1 : 2, LEASE_DURATION_SECONDS) {
            @Override
            double startOfTerm(double now) {
                return disabled == Safeguard.TERM_STARTS_AT_REQUEST ? now : super.startOfTerm(now);
            }
        };
    }

    double clock(int member) {
        return time * rates[member];
    }

    boolean uses(int holder) {
        return !paused[holder]
                && (disabled == Safeguard.CHECK_AT_USE
                        ? believesHeld[holder]
                        : leases[holder].isHeld(clock(holder)));
    }

    String key() {
        StringBuilder key = new StringBuilder();
        for (int i = 0; i < MEMBERS; i++) {
            key.append(incarnations[i]).append(voters[i].stateKey(clock(i))).append(';');
        }
        for (int i = 0; i < HOLDERS; i++) {
            key.append(leases[i].stateKey(clock(i)))
                    .append(paused[i])
                    .append(believesHeld[i])
                    .append(';');
        }
        messages.forEach(message -> key.append(message.text).append(','));
        return key.toString();
    }

    /** Replaces a voter by a copy to be changed, since states share voters. Returns the copy. */
    private LeaseVoter replaceVoterByCopy(int member) {
        LeaseVoter copy = newVoter(-100 * LEASE_DURATION_SECONDS);
        voters[member].copyTo(copy);
        voters[member] = copy;
        return copy;
    }

    private void step(List<Step> all, String name, Consumer<LeaseModel> action) {
        all.add(new Step(name, action));
    }

    /** Returns all steps that are possible in this state. */
    List<Step> steps() {
        List<Step> all = new ArrayList<>();
        for (int i = 0; i < HOLDERS; i++) {
            int holder = i;
            if (!paused[holder]) {
                step(all, "request by " + NAMES[holder], state -> state.request(holder));
                if (leases[holder].isHeld(clock(holder))) {
                    step(all, "release by " + NAMES[holder], state -> state.release(holder));
                }
            }
            if (uses(holder) || paused[holder]) {
                step(
                        all,
                        (paused[holder] ? "resume " : "pause ") + NAMES[holder],
                        state -> state.paused[holder] = !state.paused[holder]);
            }
        }
        for (LeaseDatagram message : messages) {
            if (message.to >= HOLDERS || !paused[message.to]) {
                step(all, "receive " + message.text, state -> state.receive(message));
            }
        }
        for (double timeStep : TIME_STEPS_SECONDS) {
            step(all, "advance " + timeStep, state -> state.advance(timeStep));
        }
        for (int i = 0; i < MEMBERS; i++) {
            int member = i;
            if (incarnations[member] == 1 && (member >= HOLDERS || !paused[member])) {
                step(all, "restart " + NAMES[member], state -> state.restart(member));
            }
        }
        return all;
    }

    private void advance(double timeStep) {
        time += timeStep;
        for (int holder = 0; holder < HOLDERS; holder++) {
            // A holder's timer ends its use of the lease, but does not fire while the holder is
            // paused.
            believesHeld[holder] &= paused[holder] || leases[holder].isHeld(clock(holder));
        }
    }

    /** Sends a round of requests. The holder's own voter receives the request at once. */
    private void request(int holder) {
        int round = ++rounds[holder];
        leases[holder].beginRound(clock(holder), round);
        for (int member = 0; member < MEMBERS; member++) {
            send(DatagramType.REQUEST, holder, member, incarnations[holder], round);
        }
    }

    private void release(int holder) {
        leases[holder].release();
        believesHeld[holder] = false;
        int round = ++rounds[holder];
        for (int member = 0; member < MEMBERS; member++) {
            messages.add(
                    new LeaseDatagram(
                            DatagramType.RELEASE, holder, member, incarnations[holder], round));
        }
    }

    private void restart(int member) {
        incarnations[member]++;
        voters[member] = newVoter(clock(member));
        if (member < HOLDERS) {
            leases[member] = newLease();
            believesHeld[member] = false;
        }
    }

    /** Sends a datagram. A datagram to the sender itself is received at once. */
    private void send(DatagramType type, int from, int to, long incarnation, int round) {
        LeaseDatagram message = new LeaseDatagram(type, from, to, incarnation, round);
        if (from == to) {
            receive(message);
        } else {
            messages.add(message);
        }
    }

    private void receive(LeaseDatagram message) {
        int receiver = message.to;
        PeerId sender = names[message.from];
        long incarnation = message.incarnation;
        int round = message.round;
        LeaseTerms terms = new LeaseTerms(SHARE, incarnation);
        double now = clock(receiver);
        switch (message.type) {
            case REQUEST -> {
                if (replaceVoterByCopy(receiver).requestVote(now, terms, sender, round)) {
                    send(DatagramType.GRANT, receiver, message.from, incarnation, round);
                }
            }
            case RELEASE -> replaceVoterByCopy(receiver).release(terms, sender, round);
            case GRANT -> {
                if (incarnation == incarnations[receiver]) {
                    leases[receiver].onGrant(now, round, sender);
                    believesHeld[receiver] |= leases[receiver].isHeld(now);
                }
            }
        }
    }
}
