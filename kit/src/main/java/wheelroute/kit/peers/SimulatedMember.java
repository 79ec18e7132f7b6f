package wheelroute.kit.peers;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
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

/** A member of a {@link PeerModel}: a process that runs, is paused, or is down. */
public final class SimulatedMember implements Membership.Transport {
    private static final int CLUSTER = 7;

    /** How long a member that stalls repeatedly runs in between. */
    private static final double RUN_BETWEEN_STALLS_SECONDS = 0.3;

    /** What a member's clock shows when the model starts. */
    private static final double CLOCK_AT_START_SECONDS = 1e6;

    /** Index in {@link PeerModel#members}. */
    public final int number;

    private final PeerModel model;
    private final SimulatedTime time;

    /** Events that arrived while it was paused. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    private Membership membership;

    /** Counts starts and ends, so that events of an earlier process are dropped. */
    private int processCount;

    private boolean isPaused;
    private boolean isUp;
    private double timerAt = Double.POSITIVE_INFINITY;

    /** Mean duration of its repeated stalls; 0 for none. */
    private double stallSeconds;

    SimulatedMember(PeerModel model, int number) {
        this.model = model;
        this.number = number;
        time = model.time;
    }

    /** Returns the membership of its latest process; null before the first. */
    public Membership membership() {
        return membership;
    }

    /** Whether it has a process, paused or not. */
    public boolean isUp() {
        return isUp;
    }

    /** Whether its process gets no CPU. */
    public boolean isPaused() {
        return isPaused;
    }

    // ---- process

    /**
     * Starts a new process of the same name.
     *
     * @param clockAheadSeconds by how much its clock is ahead; negative for behind
     */
    public void start(double clockAheadSeconds) {
        processCount++;
        isUp = true;
        isPaused = false;
        deferredEvents.clear();
        timerAt = Double.POSITIVE_INFINITY;
        membership = new Membership(config(clockAheadSeconds), this);
        runEvent(membership::start);
    }

    private MembershipConfig config(double clockAheadSeconds) {
        List<MemberAddress> seedAddresses = new ArrayList<>();
        for (int i = 0; i < model.seedCount(); i++) {
            seedAddresses.add(PeerModel.address(i));
        }
        double clockSeconds =
                CLOCK_AT_START_SECONDS + time.now() - model.startedAt() + clockAheadSeconds;
        long incarnation = (long) (MILLIS_PER_SECOND * clockSeconds);
        long seed = model.seedOf(SeededRandom.Purpose.STRATEGY, number, processCount);
        return new MembershipConfig(
                CLUSTER,
                PeerModel.id(number),
                PeerModel.address(number),
                incarnation,
                seedAddresses,
                seed,
                model.isLocalHealthAware());
    }

    /** Ends the process without a message. */
    public void crash() {
        isUp = false;
        processCount++;
    }

    /** Pauses the process, or resumes it; it then handles what arrived meanwhile. */
    public void pause(boolean newPaused) {
        isPaused = newPaused;
        while (!isPaused && !deferredEvents.isEmpty()) {
            deferredEvents.pollFirst().run();
        }
    }

    /**
     * Lets the process stall again and again, as on an overloaded machine.
     *
     * @param seconds mean duration of a stall; 0 ends them
     */
    public void stall(double seconds) {
        boolean wasStalling = stallSeconds > 0;
        stallSeconds = seconds;
        if (!wasStalling && seconds > 0) {
            stallRepeatedly();
        }
    }

    private void stallRepeatedly() {
        if (stallSeconds > 0 && isUp) {
            pause(true);
            time.schedule(
                    stallSeconds * (0.5 + model.draw()),
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

    // ---- events

    private void runEvent(Runnable event) {
        runEventOf(processCount, event);
    }

    private void runEventOf(int process, Runnable event) {
        if (process != processCount) {
            return;
        }
        if (isPaused) {
            deferredEvents.addLast(() -> runEventOf(process, event));
            return;
        }
        membership.advanceTo(time.now());
        event.run();
    }

    @Override
    public void send(MemberAddress to, Message message) {
        model.send(number, to, MessageCodec.encode(message));
    }

    void receive(int from, ByteBuffer datagram) {
        if (!isUp) {
            return;
        }
        try {
            Message message = MessageCodec.decode(datagram);
            runEvent(() -> membership.receive(PeerModel.address(from), message));
        } catch (MalformedMessageException e) {
            throw new AssertionError("a member sent a malformed datagram", e);
        }
    }

    @Override
    public void scheduleTimer(double delaySeconds) {
        double at = time.now() + delaySeconds;
        if (at < timerAt) {
            timerAt = at;
            int process = processCount;
            time.schedule(
                    delaySeconds,
                    () -> {
                        if (process == processCount && timerAt == at) {
                            timerAt = Double.POSITIVE_INFINITY;
                            runEvent(membership::onTimer);
                        }
                    });
        }
    }

    @Override
    public void memberChanged(MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy) {
        // Counted only at the member that declares the death, as the others repeat its verdict.
        if (update.state() == MemberUpdate.State.DEAD && reportedBy.equals(PeerModel.id(number))) {
            model.onDeclaredDead(update);
        }
    }

    // ---- views of the cluster

    boolean isReachable() {
        return isUp && !isPaused;
    }

    /** Whether a verdict that it is dead is wrong, and not the result of a stall. */
    boolean runsWithoutFault() {
        return isReachable() && stallSeconds == 0;
    }

    /** Whether it holds exactly those members to be alive that are up. */
    boolean hasConverged(long upCount) {
        if (membership.aliveCount() != upCount) {
            return false;
        }
        for (MemberUpdate other : membership.others()) {
            boolean heldAlive = other.state() == MemberUpdate.State.ALIVE;
            if (heldAlive != model.memberOf(other).isUp) {
                return false;
            }
        }
        return true;
    }

    boolean holdsDead(int other) {
        MemberUpdate update = membership.find(PeerModel.id(other));
        return update == null
                || update.state() == MemberUpdate.State.DEAD
                || update.state() == MemberUpdate.State.LEFT;
    }
}
