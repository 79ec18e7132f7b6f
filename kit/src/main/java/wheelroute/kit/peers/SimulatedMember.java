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

/** A member of a {@link PeerModel}, whose process runs, is paused or is down. */
public final class SimulatedMember implements Membership.Transport {
    private static final int CLUSTER_ID = 7;

    /** How long a member that stalls repeatedly runs between two stalls. */
    private static final double RUN_BETWEEN_STALLS_SECONDS = 0.3;

    /** Reading of an accurate member clock when the model starts. */
    private static final double CLOCK_AT_START_SECONDS = 1e6;

    /** Index in {@link PeerModel#members}. */
    public final int number;

    private final PeerModel model;
    private final SimulatedTime time;

    /** Events that arrived while the process was paused. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    private Membership membership;

    /** Number of starts and ends so far. Events from before the latest of them are dropped. */
    private int processGeneration;

    private boolean isPaused;
    private boolean isUp;
    private double timerAt = Double.POSITIVE_INFINITY;

    /** Mean duration of the repeated stalls; 0 while the process does not stall. */
    private double meanStallSeconds;

    SimulatedMember(PeerModel model, int number) {
        this.model = model;
        this.number = number;
        time = model.time;
    }

    /** Returns the membership of the latest process; null before the first start. */
    public Membership membership() {
        return membership;
    }

    /** Whether the member has a process, paused or not. */
    public boolean isUp() {
        return isUp;
    }

    /** Whether the process is paused, and so gets no CPU time. */
    public boolean isPaused() {
        return isPaused;
    }

    /**
     * Starts a new process with the same member name.
     *
     * @param clockAheadSeconds by how much the process's clock is ahead; negative for behind
     */
    public void start(double clockAheadSeconds) {
        processGeneration++;
        isUp = true;
        isPaused = false;
        deferredEvents.clear();
        timerAt = Double.POSITIVE_INFINITY;
        membership = new Membership(config(clockAheadSeconds), this);
        runEvent(membership::start);
    }

    private MembershipConfig config(double clockAheadSeconds) {
        List<MemberAddress> seedAddresses = new ArrayList<>();
        for (int i = 0; i < model.seedMembers(); i++) {
            seedAddresses.add(PeerModel.address(i));
        }
        double clockSeconds =
                CLOCK_AT_START_SECONDS + time.now() - model.startedAt() + clockAheadSeconds;
        long incarnation = (long) (MILLIS_PER_SECOND * clockSeconds);
        long seed = model.seedOf(SeededRandom.Purpose.STRATEGY, number, processGeneration);
        return new MembershipConfig(
                CLUSTER_ID,
                PeerModel.id(number),
                PeerModel.address(number),
                incarnation,
                seedAddresses,
                seed,
                model.isLocalHealthAware());
    }

    /** Ends the process without a message to the other members. */
    public void crash() {
        isUp = false;
        processGeneration++;
    }

    /** Pauses or resumes the process. On resume, the deferred events run at once. */
    public void setPaused(boolean paused) {
        isPaused = paused;
        while (!isPaused && !deferredEvents.isEmpty()) {
            deferredEvents.pollFirst().run();
        }
    }

    /**
     * Makes the process stall repeatedly, as on an overloaded machine.
     *
     * @param meanSeconds mean duration of a stall; 0 for no further stalls
     */
    public void stall(double meanSeconds) {
        boolean wasStalling = meanStallSeconds > 0;
        meanStallSeconds = meanSeconds;
        if (!wasStalling && meanSeconds > 0) {
            stallRepeatedly();
        }
    }

    private void stallRepeatedly() {
        if (meanStallSeconds > 0 && isUp) {
            setPaused(true);
            time.schedule(
                    meanStallSeconds * (0.5 + model.draw()),
                    () -> {
                        setPaused(false);
                        time.schedule(RUN_BETWEEN_STALLS_SECONDS, this::stallRepeatedly);
                    });
        }
    }

    /** Announces that the member leaves, and ends the process. */
    public void leave() {
        runEvent(membership::leave);
        crash();
    }

    private void runEvent(Runnable event) {
        runEventOf(processGeneration, event);
    }

    private void runEventOf(int generation, Runnable event) {
        if (generation != processGeneration) {
            return;
        }
        if (isPaused) {
            deferredEvents.addLast(() -> runEventOf(generation, event));
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
            throw new AssertionError("member " + from + " sent a malformed datagram", e);
        }
    }

    @Override
    public void scheduleTimer(double delaySeconds) {
        double at = time.now() + delaySeconds;
        if (at < timerAt) {
            timerAt = at;
            int generation = processGeneration;
            time.schedule(
                    delaySeconds,
                    () -> {
                        if (generation == processGeneration && timerAt == at) {
                            timerAt = Double.POSITIVE_INFINITY;
                            runEvent(membership::onTimer);
                        }
                    });
        }
    }

    @Override
    public void memberChanged(MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy) {
        // A death counts only at the member that declares it, since the others repeat its update.
        if (update.state() == MemberUpdate.State.DEAD && reportedBy.equals(PeerModel.id(number))) {
            model.onDeclaredDead(update);
        }
    }

    boolean isReachable() {
        return isUp && !isPaused;
    }

    /** Whether the member is reachable and does not stall, so that declaring it dead is wrong. */
    boolean runsWithoutFault() {
        return isReachable() && meanStallSeconds == 0;
    }

    /** Whether this member considers exactly those members alive that are up. */
    boolean hasConverged(long upCount) {
        if (membership.aliveCount() != upCount) {
            return false;
        }
        for (MemberUpdate other : membership.others()) {
            boolean isConsideredAlive = other.state() == MemberUpdate.State.ALIVE;
            if (isConsideredAlive != model.memberOf(other).isUp) {
                return false;
            }
        }
        return true;
    }

    boolean considersDead(int other) {
        MemberUpdate update = membership.find(PeerModel.id(other));
        return update == null
                || update.state() == MemberUpdate.State.DEAD
                || update.state() == MemberUpdate.State.LEFT;
    }
}
