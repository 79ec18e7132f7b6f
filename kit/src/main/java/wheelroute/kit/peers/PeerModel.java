package wheelroute.kit.peers;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.simulation.SimulatedTime;
import wheelroute.peers.MalformedMessageException;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Membership;
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
    private static final double FED = 0.3;

    private static final int CLUSTER = 7;

    public final SimulatedTime time = new SimulatedTime();
    public final List<Member> members = new ArrayList<>();
    private final SeededRandom chance;
    private final int seeds;
    private final boolean doubts;
    private final double start = time.now();
    private long drawn;
    private double loss;
    private double doubled;
    private double spread;
    private BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private long datagrams;
    private long bytes;
    private long verdicts;
    private int largest;

    /** One member: a process that runs, stands still or is down. */
    public final class Member implements Membership.Transport {
        public final int number;
        private Membership membership;
        private int life;
        private boolean still;
        private boolean up;
        private double wakeAt = Double.POSITIVE_INFINITY;

        /** So long at a time it gets no core; 0 for as it should be. */
        private double slow;

        private final ArrayDeque<Runnable> meanwhile = new ArrayDeque<>();

        private Member(int number) {
            this.number = number;
        }

        public Membership membership() {
            return membership;
        }

        public boolean isUp() {
            return up;
        }

        public boolean isStill() {
            return still;
        }

        /** A new process under the same name; its clock says so much more than it should. */
        public void begin(double clockAhead) {
            life++;
            up = true;
            still = false;
            meanwhile.clear();
            wakeAt = Double.POSITIVE_INFINITY;
            List<MemberAddress> places = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                places.add(place(i));
            }
            long millis = (long) (1000 * (1e6 + time.now() - start + clockAhead));
            membership =
                    new Membership(
                            CLUSTER,
                            id(number),
                            place(number),
                            millis,
                            places,
                            chance.seedOf(SeededRandom.Purpose.STRATEGY, number, life),
                            doubts,
                            this);
            event(membership::begin);
        }

        public void crash() {
            up = false;
            life++;
        }

        public void pause(boolean begins) {
            still = begins;
            while (!still && !meanwhile.isEmpty()) {
                meanwhile.pollFirst().run();
            }
        }

        /**
         * From here on it stands still about so long, again and again, with moments between; 0 ends
         * that.
         */
        public void slow(double by) {
            boolean was = slow > 0;
            slow = by;
            if (!was && by > 0) {
                starve();
            }
        }

        private void starve() {
            if (slow > 0 && up) {
                pause(true);
                time.schedule(
                        slow * (0.5 + draw()),
                        () -> {
                            pause(false);
                            time.schedule(FED, this::starve);
                        });
            }
        }

        public void leave() {
            event(membership::leave);
            crash();
        }

        private void event(Runnable what) {
            int of = life;
            Runnable now =
                    () -> {
                        if (of != life) {
                            return;
                        }
                        if (still) {
                            meanwhile.addLast(() -> event(what));
                            return;
                        }
                        membership.at(time.now());
                        what.run();
                    };
            now.run();
        }

        @Override
        public void send(MemberAddress to, Message message) {
            ByteBuffer datagram = MessageCodec.encode(message);
            datagrams++;
            bytes += datagram.remaining();
            largest = Math.max(largest, datagram.remaining());
            int target = to.port() - FIRST_PORT;
            if (target < 0
                    || target >= members.size()
                    || cut.test(number, target)
                    || draw() < loss) {
                return;
            }
            for (int copies = draw() < doubled ? 2 : 1; copies > 0; copies--) {
                ByteBuffer copy = datagram.duplicate();
                time.schedule(
                        DELAY + JITTER * draw() + spread * draw(),
                        () -> members.get(target).comes(number, copy));
            }
        }

        private void comes(int from, ByteBuffer datagram) {
            if (!up) {
                return;
            }
            try {
                Message message = MessageCodec.decode(datagram);
                event(() -> membership.received(place(from), message));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException("our own datagram", e);
            }
        }

        @Override
        public void wake(double delay) {
            double at = time.now() + delay;
            if (at < wakeAt) {
                wakeAt = at;
                int of = life;
                time.schedule(
                        delay,
                        () -> {
                            if (of == life && wakeAt == at) {
                                wakeAt = Double.POSITIVE_INFINITY;
                                event(membership::woken);
                            }
                        });
            }
        }

        @Override
        public void changed(MemberUpdate now, MemberUpdate.State before, String why) {
            // Passed on it is one verdict still.
            if (now.state() == MemberUpdate.State.DEAD && why.startsWith("by our own")) {
                Member of = members.get(Integer.parseInt(now.id().name().substring(1)));
                if (of.up && !of.still && of.slow == 0) {
                    verdicts++;
                }
            }
        }
    }

    /**
     * So many members, of which the first few are everybody's seeds; who doubt themselves, or do
     * not.
     */
    public PeerModel(int count, int seeds, long seed, boolean doubts) {
        this.seeds = seeds;
        this.doubts = doubts;
        chance = new SeededRandom(seed);
        for (int i = 0; i < count; i++) {
            members.add(new Member(i));
        }
    }

    public static PeerId id(int number) {
        return new PeerId("n" + number);
    }

    private static MemberAddress place(int number) {
        return new MemberAddress(HOST, FIRST_PORT + number);
    }

    /** From 0 up to 1, in the order of asking. */
    public double draw() {
        return chance.uniform(SeededRandom.Purpose.LINK, drawn++, 0);
    }

    public void network(double newLoss, double newDoubled, double newSpread) {
        loss = newLoss;
        doubled = newDoubled;
        spread = newSpread;
    }

    /** Whose datagrams to whom are lost from here on. */
    public void cut(BiPredicate<Integer, Integer> newCut) {
        cut = newCut;
    }

    /** All of them within so long. */
    public void beginAll(double within) {
        for (Member member : members) {
            time.schedule(within * draw(), () -> member.begin(0));
        }
    }

    public void pass(double seconds) {
        boolean[] there = {false};
        time.schedule(seconds, () -> there[0] = true);
        while (!there[0] && time.step()) {
            // Each step moves the virtual clock on.
        }
    }

    /**
     * Passes until it is so, looking ten times a second; how long it took, or NaN if it did not
     * come.
     */
    public double passUntil(java.util.function.BooleanSupplier so, double most) {
        double from = time.now();
        while (time.now() < from + most) {
            if (so.getAsBoolean()) {
                return time.now() - from;
            }
            pass(0.1);
        }
        return Double.NaN;
    }

    /** All that run hold just those that run to be there. */
    public boolean isAgreed() {
        long up = members.stream().filter(Member::isUp).count();
        return members.stream()
                .filter(m -> m.up && !m.still)
                .allMatch(
                        m ->
                                m.membership.there() == up
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
    public boolean isGivenUp(int number) {
        return members.stream()
                .filter(m -> m.up && m.number != number)
                .allMatch(
                        m -> {
                            MemberUpdate of = m.membership.of(id(number));
                            return of == null
                                    || of.state() == MemberUpdate.State.DEAD
                                    || of.state() == MemberUpdate.State.LEFT;
                        });
    }

    /** Verdicts on members that ran as they should. */
    public long wrongVerdicts() {
        return verdicts;
    }

    public long bytes() {
        return bytes;
    }

    public long datagrams() {
        return datagrams;
    }

    public int largestDatagram() {
        return largest;
    }

    public void countFromHere() {
        bytes = 0;
        datagrams = 0;
        verdicts = 0;
    }
}
