package wheelroute.kit.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.simulation.SimulatedTime;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Membership;
import wheelroute.peers.PeerId;

/**
 * A cluster of {@link Membership}s in simulated time. Every datagram passes through the codec and a
 * network that may delay, reorder, duplicate or lose it, or block it by sender and receiver.
 * Members can crash, pause, stall, leave and restart. All random numbers are drawn from one seed.
 */
public final class PeerModel {
    /** IPv4 address of all members, 127.0.0.1; members differ by port. */
    private static final int HOST = 0x7f000001;

    private static final int FIRST_PORT = 10_000;

    /** Interval at which {@link #advanceUntil} checks its condition. */
    private static final double CHECK_INTERVAL_SECONDS = 0.1;

    private static final String NAME_PREFIX = "n";

    /** Clock of the members and the network. */
    public final SimulatedTime time = new SimulatedTime();

    /** All members in the order of their numbers, whether they are up or not. */
    public final List<SimulatedMember> members = new ArrayList<>();

    private final SeededRandom random;
    private final int seedMembers;
    private final boolean localHealthAware;
    private final double startedAt = time.now();
    private long drawCount;
    private final PeerNetwork network = new PeerNetwork(time, this::draw, this::deliver);
    private long falsePositives;

    /**
     * Creates a cluster whose members are not started yet.
     *
     * @param count number of members
     * @param seedMembers number of members, from the first on, that are the seeds of all members
     * @param localHealthAware whether members use Lifeguard's local health multiplier
     */
    public PeerModel(int count, int seedMembers, long seed, boolean localHealthAware) {
        this.seedMembers = seedMembers;
        this.localHealthAware = localHealthAware;
        random = new SeededRandom(seed);
        for (int i = 0; i < count; i++) {
            members.add(new SimulatedMember(this, i));
        }
    }

    int seedMembers() {
        return seedMembers;
    }

    boolean isLocalHealthAware() {
        return localHealthAware;
    }

    double startedAt() {
        return startedAt;
    }

    long seedOf(SeededRandom.Purpose purpose, long a, long b) {
        return random.seedOf(purpose, a, b);
    }

    void send(int from, MemberAddress to, ByteBuffer datagram) {
        int receiver = to.port() - FIRST_PORT;
        boolean exists = receiver >= 0 && receiver < members.size();
        network.send(from, receiver, exists, datagram);
    }

    private void deliver(int from, int to, ByteBuffer datagram) {
        members.get(to).receive(from, datagram);
    }

    void onDeclaredDead(MemberUpdate update) {
        if (memberOf(update).runsWithoutFault()) {
            falsePositives++;
        }
    }

    SimulatedMember memberOf(MemberUpdate update) {
        String number = update.id().name().substring(NAME_PREFIX.length());
        return members.get(Integer.parseInt(number));
    }

    /** Returns the name of the member with this number. */
    public static PeerId id(int number) {
        return new PeerId(NAME_PREFIX + number);
    }

    static MemberAddress address(int number) {
        return new MemberAddress(HOST, FIRST_PORT + number);
    }

    /** Returns the next random number, from 0 (inclusive) to 1 (exclusive). */
    public double draw() {
        return random.uniform(SeededRandom.Purpose.LINK, drawCount++, 0);
    }

    /**
     * Sets how the network treats datagrams that are sent from now on.
     *
     * @param lossFraction fraction of datagrams that is lost
     * @param duplicationFraction fraction of datagrams that arrives twice
     * @param maxExtraDelaySeconds maximum of an additional random delay
     */
    public void setNetwork(
            double lossFraction, double duplicationFraction, double maxExtraDelaySeconds) {
        network.configure(lossFraction, duplicationFraction, maxExtraDelaySeconds);
    }

    /** Sets which pairs of sender and receiver lose all datagrams that are sent from now on. */
    public void block(BiPredicate<Integer, Integer> newBlocked) {
        network.block(newBlocked);
    }

    /** Schedules the start of each member at a random time within this many seconds. */
    public void startAll(double withinSeconds) {
        for (SimulatedMember member : members) {
            time.schedule(withinSeconds * draw(), () -> member.start(0));
        }
    }

    /** Runs the model for this many seconds. */
    public void advance(double seconds) {
        boolean[] elapsed = {false};
        time.schedule(seconds, () -> elapsed[0] = true);
        while (!elapsed[0] && time.step()) {
            // Each step advances the simulated time.
        }
    }

    /**
     * Runs the model until a condition holds.
     *
     * @param timeoutSeconds maximum duration of the wait in simulated time
     * @return seconds until the condition held; NaN if it did not hold in time
     */
    public double advanceUntil(BooleanSupplier condition, double timeoutSeconds) {
        double from = time.now();
        while (time.now() < from + timeoutSeconds) {
            if (condition.getAsBoolean()) {
                return time.now() - from;
            }
            advance(CHECK_INTERVAL_SECONDS);
        }
        return Double.NaN;
    }

    /** Whether all reachable members consider exactly those members alive that are up. */
    public boolean hasConverged() {
        long upCount = members.stream().filter(SimulatedMember::isUp).count();
        return members.stream()
                .filter(SimulatedMember::isReachable)
                .allMatch(member -> member.hasConverged(upCount));
    }

    /** Whether all other members that are up consider this member dead, or to have left. */
    public boolean isDeadEverywhere(int number) {
        return members.stream()
                .filter(member -> member.isUp() && member.number != number)
                .allMatch(member -> member.considersDead(number));
    }

    /** Number of times that a member without a fault was declared dead since the last reset. */
    public long falsePositives() {
        return falsePositives;
    }

    /** Number of bytes sent by all members since the last reset. */
    public long bytes() {
        return network.bytes();
    }

    /** Number of datagrams sent by all members since the last reset. */
    public long datagrams() {
        return network.datagrams();
    }

    /** Size of the largest datagram in bytes; not affected by resets. */
    public int largestDatagram() {
        return network.largestDatagram();
    }

    /** Resets the counters of bytes, datagrams and false positives. */
    public void resetCounters() {
        network.resetCounters();
        falsePositives = 0;
    }
}
