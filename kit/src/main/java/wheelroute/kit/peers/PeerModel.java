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
 * A cluster of {@link Membership}s on the virtual clock. Every datagram passes through the codec
 * and a network that may delay, reorder, duplicate or lose it, or block it by sender and receiver.
 * Members crash, pause, stall, leave and restart. All randomness is drawn from one seed.
 */
public final class PeerModel {
    /** The host of all members, which differ by port. */
    private static final int HOST = 0x7f000001;

    private static final int FIRST_PORT = 10_000;

    /** Interval at which a condition is checked. */
    private static final double CHECK_INTERVAL_SECONDS = 0.1;

    private static final String NAME_PREFIX = "n";

    /** The clock of the whole model. */
    public final SimulatedTime time = new SimulatedTime();

    /** All members, up or not, in the order of their numbers. */
    public final List<SimulatedMember> members = new ArrayList<>();

    private final SeededRandom random;
    private final int seeds;
    private final boolean localHealthAware;
    private final double startedAt = time.now();
    private long draws;
    private final PeerNetwork network = new PeerNetwork(time, this::draw, this::deliver);
    private long falsePositives;

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
            members.add(new SimulatedMember(this, i));
        }
    }

    // ---- what members use

    int seedCount() {
        return seeds;
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

    /** Name of the member of this number. */
    public static PeerId id(int number) {
        return new PeerId(NAME_PREFIX + number);
    }

    static MemberAddress address(int number) {
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
     * @param newSpreadSeconds maximum of a further random delay
     */
    public void setNetwork(double newLoss, double newDuplication, double newSpreadSeconds) {
        network.configure(newLoss, newDuplication, newSpreadSeconds);
    }

    /** Loses from here on the datagrams for whose sender and receiver this holds. */
    public void block(BiPredicate<Integer, Integer> newBlocked) {
        network.block(newBlocked);
    }

    /** Starts all members at random times within this many seconds. */
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
            // Each step moves the virtual clock on.
        }
    }

    /**
     * Runs the model until a condition holds.
     *
     * @param timeoutSeconds how long it runs at most
     * @return seconds that it took; NaN if the condition did not hold in time
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

    /** Whether all members that run hold exactly those to be alive that are up. */
    public boolean hasConverged() {
        long upCount = members.stream().filter(SimulatedMember::isUp).count();
        return members.stream()
                .filter(SimulatedMember::isReachable)
                .allMatch(member -> member.hasConverged(upCount));
    }

    /** Whether all others that are up hold this member to be dead, or to have left. */
    public boolean isDeadEverywhere(int number) {
        return members.stream()
                .filter(member -> member.isUp() && member.number != number)
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
