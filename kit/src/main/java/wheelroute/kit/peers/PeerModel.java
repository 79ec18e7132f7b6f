package wheelroute.kit.peers;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import wheelroute.kit.virtual.VirtualTime;
import wheelroute.kit.world.Chance;
import wheelroute.peers.MalformedMessageException;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Membership;
import wheelroute.peers.MembershipConfig;
import wheelroute.peers.Message;
import wheelroute.peers.MessageCodec;
import wheelroute.peers.PeerId;

/**
 * Members of one cluster on the virtual clock. Every datagram goes through the codec; it may be
 * lost, late, doubled, overtaken, or cut off by whoever sends it to whom; members crash, stand
 * still and come back.
 */
public final class PeerModel {
    /** Any; each member has a port of its own on it. */
    private static final int HOST = 0x7f000001;

    private static final int FIRST_PORT = 10_000;
    private static final double DELAY = 0.0005;
    private static final double JITTER = 0.001;

    /** A starved member runs for so long at a time. */
    private static final double RUN_SECONDS_BETWEEN_STALLS = 0.3;

    private static final int CLUSTER = 7;

    public final VirtualTime time = new VirtualTime();
    public final List<Member> members = new ArrayList<>();
    private final Chance random;
    private final int seeds;
    private final boolean localHealthAware;
    private final double start = time.now();
    private long draws;
    private double loss;
    private double duplication;
    private double spread;
    private BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    private long datagrams;
    private long bytes;
    private long falsePositives;
    private int largestDatagram;

    /** One member: a process that runs, stands still or is down. */
    public final class Member implements Membership.Transport {
        public final int number;
        private Membership membership;
        private int processCount;
        private boolean paused;
        private boolean up;
        private double timerAt = Double.POSITIVE_INFINITY;

        /** So long at a time it gets no core; 0 for as it should be. */
        private double stallSeconds;

        private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

        private Member(int number) {
            this.number = number;
        }

        public Membership membership() {
            return membership;
        }

        public boolean isUp() {
            return up;
        }

        public boolean isPaused() {
            return paused;
        }

        /** A new process under the same name; its clock says so much more than it should. */
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
            long millis = (long) (1000 * (1e6 + time.now() - start + clockAhead));
            membership =
                    new Membership(
                            new MembershipConfig(
                                    CLUSTER,
                                    id(number),
                                    address(number),
                                    millis,
                                    seedAddresses,
                                    random.key(Chance.Of.BRAIN, number, processCount),
                                    localHealthAware),
                            this);
            runEvent(membership::start);
        }

        public void crash() {
            up = false;
            processCount++;
        }

        public void pause(boolean begins) {
            paused = begins;
            while (!paused && !deferredEvents.isEmpty()) {
                deferredEvents.pollFirst().run();
            }
        }

        /**
         * From here on it stands still about so long, again and again, with moments between; 0 ends
         * that.
         */
        public void stall(double by) {
            boolean was = stallSeconds > 0;
            stallSeconds = by;
            if (!was && by > 0) {
                stallRepeatedly();
            }
        }

        private void stallRepeatedly() {
            if (stallSeconds > 0 && up) {
                pause(true);
                time.after(
                        stallSeconds * (0.5 + draw()),
                        () -> {
                            pause(false);
                            time.after(RUN_SECONDS_BETWEEN_STALLS, this::stallRepeatedly);
                        });
            }
        }

        public void leave() {
            runEvent(membership::leave);
            crash();
        }

        private void runEvent(Runnable what) {
            int of = processCount;
            Runnable now =
                    () -> {
                        if (of != processCount) {
                            return;
                        }
                        if (paused) {
                            deferredEvents.addLast(() -> runEvent(what));
                            return;
                        }
                        membership.advanceTo(time.now());
                        what.run();
                    };
            now.run();
        }

        @Override
        public void send(MemberAddress to, Message message) {
            ByteBuffer datagram = MessageCodec.encode(message);
            datagrams++;
            bytes += datagram.remaining();
            largestDatagram = Math.max(largestDatagram, datagram.remaining());
            int target = to.port() - FIRST_PORT;
            if (target < 0
                    || target >= members.size()
                    || blocked.test(number, target)
                    || draw() < loss) {
                return;
            }
            for (int copies = draw() < duplication ? 2 : 1; copies > 0; copies--) {
                ByteBuffer copy = datagram.duplicate();
                time.after(
                        DELAY + JITTER * draw() + spread * draw(),
                        () -> members.get(target).receive(number, copy));
            }
        }

        private void receive(int from, ByteBuffer datagram) {
            if (!up) {
                return;
            }
            try {
                Message message = MessageCodec.decode(datagram);
                runEvent(() -> membership.receive(address(from), message));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException("our own datagram", e);
            }
        }

        @Override
        public void scheduleTimer(double delay) {
            double at = time.now() + delay;
            if (at < timerAt) {
                timerAt = at;
                int of = processCount;
                time.after(
                        delay,
                        () -> {
                            if (of == processCount && timerAt == at) {
                                timerAt = Double.POSITIVE_INFINITY;
                                runEvent(membership::onTimer);
                            }
                        });
            }
        }

        @Override
        public void memberChanged(MemberUpdate now, MemberUpdate.State before, PeerId reportedBy) {
            // Passed on it is one verdict still.
            if (now.state() == MemberUpdate.State.DEAD && reportedBy.equals(id(number))) {
                Member of = members.get(Integer.parseInt(now.id().name().substring(1)));
                if (of.up && !of.paused && of.stallSeconds == 0) {
                    falsePositives++;
                }
            }
        }
    }

    /**
     * So many members, of which the first few are everybody's seeds; who doubt themselves, or do
     * not.
     */
    public PeerModel(int count, int seeds, long seed, boolean localHealthAware) {
        this.seeds = seeds;
        this.localHealthAware = localHealthAware;
        random = new Chance(seed);
        for (int i = 0; i < count; i++) {
            members.add(new Member(i));
        }
    }

    public static PeerId id(int number) {
        return new PeerId("n" + number);
    }

    private static MemberAddress address(int number) {
        return new MemberAddress(HOST, FIRST_PORT + number);
    }

    /** From 0 up to 1, in the order of asking. */
    public double draw() {
        return random.once(Chance.Of.LINK, draws++, 0);
    }

    public void setNetwork(double newLoss, double newDuplication, double newSpread) {
        loss = newLoss;
        duplication = newDuplication;
        spread = newSpread;
    }

    /** Whose datagrams to whom are lost from here on. */
    public void blocked(BiPredicate<Integer, Integer> newBlocked) {
        blocked = newBlocked;
    }

    /** All of them within so long. */
    public void startAll(double within) {
        for (Member member : members) {
            time.after(within * draw(), () -> member.start(0));
        }
    }

    public void advance(double seconds) {
        boolean[] there = {false};
        time.after(seconds, () -> there[0] = true);
        while (!there[0] && time.step()) {
            // Each step moves the virtual clock on.
        }
    }

    /**
     * Passes until it is so, looking ten times a second; how long it took, or NaN if it did not
     * come.
     */
    public double advanceUntil(java.util.function.BooleanSupplier so, double most) {
        double from = time.now();
        while (time.now() < from + most) {
            if (so.getAsBoolean()) {
                return time.now() - from;
            }
            advance(0.1);
        }
        return Double.NaN;
    }

    /** All that run hold just those that run to be there. */
    public boolean hasConverged() {
        long up = members.stream().filter(Member::isUp).count();
        return members.stream()
                .filter(m -> m.up && !m.paused)
                .allMatch(
                        m ->
                                m.membership.aliveCount() == up
                                        && m.membership.others().stream()
                                                .allMatch(
                                                        o ->
                                                                (o.state()
                                                                                == MemberUpdate
                                                                                        .State
                                                                                        .ALIVE)
                                                                        == members.get(
                                                                                        Integer
                                                                                                .parseInt(
                                                                                                        o.id().name()
                                                                                                                .substring(
                                                                                                                        1)))
                                                                                .up));
    }

    /** All that run have given this one up. */
    public boolean isDeadEverywhere(int number) {
        return members.stream()
                .filter(m -> m.up && m.number != number)
                .allMatch(
                        m -> {
                            MemberUpdate of = m.membership.find(id(number));
                            return of == null
                                    || of.state() == MemberUpdate.State.DEAD
                                    || of.state() == MemberUpdate.State.LEFT;
                        });
    }

    /** Verdicts on members that ran as they should. */
    public long falsePositives() {
        return falsePositives;
    }

    public long bytes() {
        return bytes;
    }

    public long datagrams() {
        return datagrams;
    }

    public int largestDatagram() {
        return largestDatagram;
    }

    public void resetCounters() {
        bytes = 0;
        datagrams = 0;
        falsePositives = 0;
    }
}
