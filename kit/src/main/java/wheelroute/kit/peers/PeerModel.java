package wheelroute.kit.peers;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.simulation.SimulatedTime;
import wheelroute.peers.MalformedMessageException;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Membership;
import wheelroute.peers.MembershipConfig;
import wheelroute.peers.Message;
import wheelroute.peers.MessageCodec;
import wheelroute.peers.PeerId;

/**
 * A cluster of {@link Membership}s on the virtual clock. Every datagram passes through the codec
 * and a network that may delay, reorder, duplicate or lose it, or block it by sender and receiver.
 * Members crash, pause, stall, leave and restart. All randomness is drawn from one seed.
 */
public final class PeerModel {
    /** The host of all members, which differ by port. */
    private static final int HOST = 0x7f000001;

    private static final int FIRST_PORT = 10_000;

    /** How long a member that stalls repeatedly runs in between. */
    private static final double RUN_BETWEEN_STALLS_SECONDS = 0.3;

    /** Interval at which a condition is checked. */
    private static final double CHECK_INTERVAL_SECONDS = 0.1;

    /** What a member's clock shows when the model starts. */
    private static final double CLOCK_AT_START_SECONDS = 1e6;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final int CLUSTER = 7;
    private static final String NAME_PREFIX = "n";

    /** The clock of the whole model. */
    public final SimulatedTime time = new SimulatedTime();

    /** All members, up or not, in the order of their numbers. */
    public final List<Member> members = new ArrayList<>();

    private final SeededRandom random;
    private final int seeds;
    private final boolean localHealthAware;
    private final double startTime = time.now();
    private long draws;
    private final PeerNetwork network = new PeerNetwork(time, this::draw, this::deliver);
    private long falsePositives;

    /** One member: a process that runs, is paused, or is down. */
    public final class Member implements Membership.Transport {
        /** Index in {@link PeerModel#members}. */
        public final int number;

        private Membership membership;

        /** Counts starts and ends, so that events of an earlier process are dropped. */
        private int processCount;

        private boolean paused;
        private boolean up;
        private double timerAt = Double.POSITIVE_INFINITY;

        /** Mean length of its repeated stalls; 0 for none. */
        private double stallSeconds;

        /** Events that arrived while it was paused. */
        private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

        private Member(int number) {
            this.number = number;
        }

        /** The membership of its latest process; null before the first. */
        public Membership membership() {
            return membership;
        }

        /** Whether it has a process, paused or not. */
        public boolean isUp() {
            return up;
        }

        /** Whether its process gets no CPU. */
        public boolean isPaused() {
            return paused;
        }

        /**
         * Starts a new process of the same name.
         *
         * @param clockAhead seconds by which its clock is ahead; negative for behind
         */
        public void start(double clockAhead) {
            processCount++;
            up = true;
            paused = false;
            deferredEvents.clear();
            timerAt = Double.POSITIVE_INFINITY;
            List<MemberAddress> seedAddresses = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                seedAddresses.add(address(i));
            }
            double clock = CLOCK_AT_START_SECONDS + time.now() - startTime + clockAhead;
            long incarnation = (long) (MILLIS_PER_SECOND * clock);
            membership =
                    new Membership(
                            new MembershipConfig(
                                    CLUSTER,
                                    id(number),
                                    address(number),
                                    incarnation,
                                    seedAddresses,
                                    random.seedOf(
                                            SeededRandom.Purpose.STRATEGY, number, processCount),
                                    localHealthAware),
                            this);
            runEvent(membership::start);
        }

        /** Ends the process without a message. */
        public void crash() {
            up = false;
            processCount++;
        }

        /** Pauses the process, or resumes it; it then handles what arrived meanwhile. */
        public void pause(boolean newPaused) {
            paused = newPaused;
            while (!paused && !deferredEvents.isEmpty()) {
                deferredEvents.pollFirst().run();
            }
        }

        /**
         * Lets the process stall again and again, as on an overloaded machine.
         *
         * @param seconds mean length of a stall; 0 ends them
         */
        public void stall(double seconds) {
            boolean wasStalling = stallSeconds > 0;
            stallSeconds = seconds;
            if (!wasStalling && seconds > 0) {
                stallRepeatedly();
            }
        }

        private void stallRepeatedly() {
            if (stallSeconds > 0 && up) {
                pause(true);
                time.schedule(
                        stallSeconds * (0.5 + draw()),
                        () -> {
                            pause(false);
                            time.schedule(RUN_BETWEEN_STALLS_SECONDS, this::stallRepeatedly);
                        });
            }
        }

        /** Announces that it leaves, and ends the process. */
        public void leave() {
            runEvent(membership::leave);
            crash();
        }

        private void runEvent(Runnable event) {
            runEventOf(processCount, event);
        }

        private void runEventOf(int process, Runnable event) {
            if (process != processCount) {
                return;
            }
            if (paused) {
                deferredEvents.addLast(() -> runEventOf(process, event));
                return;
            }
            membership.advanceTo(time.now());
            event.run();
        }

        @Override
        public void send(MemberAddress to, Message message) {
            ByteBuffer datagram = MessageCodec.encode(message);
            int receiver = to.port() - FIRST_PORT;
            boolean exists = receiver >= 0 && receiver < members.size();
            network.send(number, receiver, exists, datagram);
        }

        private void receive(int from, ByteBuffer datagram) {
            if (!up) {
                return;
            }
            try {
                Message message = MessageCodec.decode(datagram);
                runEvent(() -> membership.receive(address(from), message));
            } catch (MalformedMessageException e) {
                throw new AssertionError("a member sent a malformed datagram", e);
            }
        }

        @Override
        public void scheduleTimer(double delay) {
            double at = time.now() + delay;
            if (at < timerAt) {
                timerAt = at;
                int process = processCount;
                time.schedule(
                        delay,
                        () -> {
                            if (process == processCount && timerAt == at) {
                                timerAt = Double.POSITIVE_INFINITY;
                                runEvent(membership::onTimer);
                            }
                        });
            }
        }

        @Override
        public void memberChanged(
                MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy) {
            // Only at the member that declares the death: gossip of it is no further verdict.
            if (update.state() == MemberUpdate.State.DEAD && reportedBy.equals(id(number))) {
                Member dead = memberOf(update);
                if (dead.up && !dead.paused && dead.stallSeconds == 0) {
                    falsePositives++;
                }
            }
        }

        private boolean isReachable() {
            return up && !paused;
        }

        /** Whether it holds exactly those members to be alive that are up. */
        private boolean hasConverged(long upCount) {
            if (membership.aliveCount() != upCount) {
                return false;
            }
            for (MemberUpdate other : membership.others()) {
                boolean heldAlive = other.state() == MemberUpdate.State.ALIVE;
                if (heldAlive != memberOf(other).up) {
                    return false;
                }
            }
            return true;
        }

        private boolean holdsDead(int other) {
            MemberUpdate update = membership.find(id(other));
            return update == null
                    || update.state() == MemberUpdate.State.DEAD
                    || update.state() == MemberUpdate.State.LEFT;
        }
    }

    /**
     * Creates a cluster with no member started.
     *
     * @param count number of members
     * @param seeds how many of them, from the first on, are everybody's seeds
     * @param localHealthAware whether they use Lifeguard's local health multiplier
     */
    public PeerModel(int count, int seeds, long seed, boolean localHealthAware) {
        this.seeds = seeds;
        this.localHealthAware = localHealthAware;
        random = new SeededRandom(seed);
        for (int i = 0; i < count; i++) {
            members.add(new Member(i));
        }
    }

    private void deliver(int from, int to, ByteBuffer datagram) {
        members.get(to).receive(from, datagram);
    }

    private Member memberOf(MemberUpdate update) {
        String number = update.id().name().substring(NAME_PREFIX.length());
        return members.get(Integer.parseInt(number));
    }

    /** Name of the member of this number. */
    public static PeerId id(int number) {
        return new PeerId(NAME_PREFIX + number);
    }

    private static MemberAddress address(int number) {
        return new MemberAddress(HOST, FIRST_PORT + number);
    }

    /** The next random number, from 0 inclusive to 1 exclusive. */
    public double draw() {
        return random.uniform(SeededRandom.Purpose.LINK, draws++, 0);
    }

    /**
     * Sets how the network treats datagrams from here on.
     *
     * @param newLoss part that is lost
     * @param newDuplication part that arrives twice
     * @param newSpread further random delay in seconds at most
     */
    public void setNetwork(double newLoss, double newDuplication, double newSpread) {
        network.configure(newLoss, newDuplication, newSpread);
    }

    /** Loses from here on the datagrams for whose sender and receiver this holds. */
    public void block(BiPredicate<Integer, Integer> newBlocked) {
        network.block(newBlocked);
    }

    /** Starts all members at random times within this many seconds. */
    public void startAll(double within) {
        for (Member member : members) {
            time.schedule(within * draw(), () -> member.start(0));
        }
    }

    /** Runs the model for this many seconds. */
    public void advance(double seconds) {
        boolean[] elapsed = {false};
        time.schedule(seconds, () -> elapsed[0] = true);
        while (!elapsed[0] && time.step()) {
            // Each step moves the virtual clock on.
        }
    }

    /**
     * Runs the model until a condition holds.
     *
     * @param timeout how long it runs at most, in seconds
     * @return seconds that it took; NaN if the condition did not hold in time
     */
    public double advanceUntil(BooleanSupplier condition, double timeout) {
        double from = time.now();
        while (time.now() < from + timeout) {
            if (condition.getAsBoolean()) {
                return time.now() - from;
            }
            advance(CHECK_INTERVAL_SECONDS);
        }
        return Double.NaN;
    }

    /** Whether all members that run hold exactly those to be alive that are up. */
    public boolean hasConverged() {
        long upCount = members.stream().filter(Member::isUp).count();
        return members.stream()
                .filter(Member::isReachable)
                .allMatch(member -> member.hasConverged(upCount));
    }

    /** Whether all others that are up hold this member to be dead, or to have left. */
    public boolean isDeadEverywhere(int number) {
        return members.stream()
                .filter(member -> member.up && member.number != number)
                .allMatch(member -> member.holdsDead(number));
    }

    /** Number of deaths declared of members that ran without a fault. */
    public long falsePositives() {
        return falsePositives;
    }

    /** Bytes sent since the last reset, by all members. */
    public long bytes() {
        return network.bytes();
    }

    /** Datagrams sent since the last reset, by all members. */
    public long datagrams() {
        return network.datagrams();
    }

    /** Size of the largest datagram of the whole run in bytes. */
    public int largestDatagram() {
        return network.largestDatagram();
    }

    /** Resets the counters of bytes, datagrams and false positives. */
    public void resetCounters() {
        network.resetCounters();
        falsePositives = 0;
    }
}
