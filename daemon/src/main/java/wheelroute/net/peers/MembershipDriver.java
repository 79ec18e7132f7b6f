package wheelroute.net.peers;

import java.util.Collection;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Membership;
import wheelroute.peers.MembershipConfig;
import wheelroute.peers.Message;
import wheelroute.peers.PeerId;

/**
 * Runs a {@link Membership} on the event loop: advances the time of the membership before each
 * event, runs its timer, sends its messages and logs each change of a member's state.
 *
 * <p>Used on the event loop's thread only.
 */
final class MembershipDriver implements Membership.Transport {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipDriver.class);

    private final EventLoop loop;
    private final PeerSocket socket;
    private final PeerId selfId;
    private final Membership membership;
    private EventLoop.Timer timer;
    private double timerDueAt = Double.POSITIVE_INFINITY;

    MembershipDriver(EventLoop loop, PeerSocket socket, MembershipConfig config) {
        this.loop = loop;
        this.socket = socket;
        selfId = config.id();
        membership = new Membership(config, this);
    }

    void start() {
        membership.advanceTo(loop.now());
        membership.start();
    }

    /** Announces to some members that this dispatcher leaves, and stops the membership. */
    void leave() {
        membership.advanceTo(loop.now());
        membership.leave();
    }

    /** Stops the membership without an announcement. */
    void stop() {
        membership.stop();
    }

    void receive(Message message) {
        membership.advanceTo(loop.now());
        membership.receive(message.header().sender().address(), message);
    }

    /** Returns the state of this dispatcher that is announced to the other members. */
    MemberUpdate self() {
        return membership.self();
    }

    /** Returns the other dispatchers as of now, including those that are dead or have left. */
    Collection<MemberUpdate> others() {
        membership.advanceTo(loop.now());
        return membership.others();
    }

    /** Returns the seconds for which a member had been in its state at the last event. */
    double secondsInState(PeerId id) {
        return membership.secondsInState(id);
    }

    int localHealthScore() {
        return membership.localHealthScore();
    }

    /** Whether the other dispatcher of this number is alive; a suspected one is not. */
    boolean isAlive(int number) {
        for (MemberUpdate member : membership.others()) {
            if (member.address().port() == number && member.state() == MemberUpdate.State.ALIVE) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void send(MemberAddress to, Message message) {
        socket.send(to, message);
    }

    @Override
    public void scheduleTimer(double delaySeconds) {
        double at = loop.now() + delaySeconds;
        boolean pending = timerDueAt > loop.now();
        if (pending && at >= timerDueAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timerDueAt = at;
        timer = loop.schedule(delaySeconds, this::onTimer);
    }

    private void onTimer() {
        timerDueAt = Double.POSITIVE_INFINITY;
        membership.advanceTo(loop.now());
        membership.onTimer();
    }

    @Override
    public void memberChanged(MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy) {
        LOG.info(
                "member {} (port {}) is {}{}, {}",
                update.id(),
                update.address().port(),
                stateName(update.state()),
                previous == null ? "" : ", was " + stateName(previous),
                describeSource(update, reportedBy));
    }

    private String describeSource(MemberUpdate update, PeerId reportedBy) {
        if (reportedBy.equals(selfId)) {
            return "detected by this dispatcher";
        }
        return "reported by " + (reportedBy.equals(update.id()) ? "the member itself" : reportedBy);
    }

    /** Returns the name of a state in log lines and in the answer to the admin command PEERS. */
    static String stateName(MemberUpdate.State state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
