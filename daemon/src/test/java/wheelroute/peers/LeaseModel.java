package wheelroute.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A state of the model that {@link LeaseModelCheckTest} searches: three dispatchers with the
 * program's own leases and voters, the network between them, and the steps that led to it.
 */
final class LeaseModel {
    private static final int MEMBERS = 3;
    private static final int HOLDERS = 2;

    /** A lease's duration, in the unit of {@link #TIME_STEPS}. */
    private static final double DURATION = 10;

    /** Drift of the clocks in the model: large, so that it shows within one lease. */
    static final double DRIFT = 0.1;

    private static final double GRANT_DURATION = DURATION * (1 + DRIFT) / (1 - DRIFT);
    private static final double[] TIME_STEPS = {1, 9.5, 12.5};
    static final PeerId[] NAMES = {new PeerId("a"), new PeerId("b"), new PeerId("c")};

    /** The second holder is a later process of the first one's name, which was only paused. */
    static final PeerId[] TWO_INCARNATIONS = {NAMES[0], NAMES[0], NAMES[2]};

    /** What the protocol's safety rests on; NONE takes nothing out. */
    enum Safeguard {
        NONE,
        TERM_STARTS_AT_REQUEST,
        ONE_HOLDER_AT_A_TIME,
        SILENCE_AFTER_START,
        MARGIN_FOR_DRIFT,
        MAJORITY,
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

    /** A datagram that was sent; it may arrive at any time, never, or more than once. */
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

    /** A transition to the next state; it changes the state that it is given. */
    record Step(String name, Consumer<LeaseModel> action) {}

    final Safeguard without;
    final double[] rates;
    final PeerId[] names;
    double time;
    final LeaseVoter[] voters = new LeaseVoter[MEMBERS];
    final Lease[] leases = new Lease[HOLDERS];
    final long[] incarnations = new long[MEMBERS];
    final int[] rounds = new int[HOLDERS];
    final boolean[] paused = new boolean[HOLDERS];

    /** What a holder goes by if it does not check the time at each use. */
    final boolean[] believesHeld = new boolean[HOLDERS];

    final Set<LeaseDatagram> messages = new TreeSet<>();
    final List<String> history = new ArrayList<>();

    LeaseModel(Safeguard without, double[] rates, PeerId[] names) {
        this.without = without;
        this.rates = rates;
        this.names = names;
        for (int i = 0; i < MEMBERS; i++) {
            // All have been running for long.
            voters[i] = newVoter(-100 * DURATION);
            incarnations[i] = names == TWO_INCARNATIONS && i == 1 ? 9 : 1;
        }
        for (int i = 0; i < HOLDERS; i++) {
            leases[i] = newLease();
        }
    }

    LeaseModel(LeaseModel other) {
        this(other.without, other.rates, other.names);
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
        double grantDuration = without == Safeguard.MARGIN_FOR_DRIFT ? DURATION : GRANT_DURATION;
        double initialSilence = without == Safeguard.SILENCE_AFTER_START ? 0 : grantDuration;
        return new LeaseVoter(now, grantDuration, initialSilence) {
            @Override
            boolean isSameHolder(Grant last, PeerId holder, long incarnation) {
                return without == Safeguard.ONE_HOLDER_AT_A_TIME
                        || (without == Safeguard.INCARNATION
                                ? last.holder().equals(holder)
                                : super.isSameHolder(last, holder, incarnation));
            }

            @Override
            boolean isLatestRound(Grant last, int round) {
                return without == Safeguard.LATEST_RELEASE || super.isLatestRound(last, round);
            }
        };
    }

    private Lease newLease() {
        return new Lease(without == Safeguard.MAJORITY ? 1 : 2, DURATION) {
            @Override
            double startOfTerm(double now) {
                return without == Safeguard.TERM_STARTS_AT_REQUEST ? now : super.startOfTerm(now);
            }
        };
    }

    double clock(int member) {
        return time * rates[member];
    }

    boolean uses(int holder) {
        return !paused[holder]
                && (without == Safeguard.CHECK_AT_USE
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

    /** Voters are copied on write, as most steps leave them as they are. */
    private LeaseVoter voterToChange(int member) {
        LeaseVoter copy = newVoter(-100 * DURATION);
        voters[member].copyTo(copy);
        voters[member] = copy;
        return copy;
    }

    private void step(List<Step> all, String name, Consumer<LeaseModel> action) {
        all.add(new Step(name, action));
    }

    /** All steps that are possible next. */
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
        for (double timeStep : TIME_STEPS) {
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
            // A timer of its own ends its belief, unless the process is paused.
            believesHeld[holder] &= paused[holder] || leases[holder].isHeld(clock(holder));
        }
    }

    /** Sends a round of requests; its own vote is taken at once. */
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

    /** Sends a datagram; one to the sender itself is received at once. */
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
        double now = clock(receiver);
        switch (message.type) {
            case REQUEST -> {
                if (voterToChange(receiver).requestVote(now, 0, sender, incarnation, round)) {
                    send(DatagramType.GRANT, receiver, message.from, incarnation, round);
                }
            }
            case RELEASE -> voterToChange(receiver).release(0, sender, incarnation, round);
            case GRANT -> {
                if (incarnation == incarnations[receiver]) {
                    leases[receiver].onGrant(now, round, sender);
                    believesHeld[receiver] |= leases[receiver].isHeld(now);
                }
            }
        }
    }
}
