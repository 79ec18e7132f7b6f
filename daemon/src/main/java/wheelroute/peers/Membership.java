package wheelroute.peers;

import java.util.List;

/**
 * Group membership among dispatchers by SWIM (Das, Gupta, Motivala, 2002) with the extensions of
 * Lifeguard (Dadgar, Phillips, Currey, 2017). docs/design/peers.md lists the differences from both.
 * This class receives all events and passes each one to the component that handles it:
 *
 * <ul>
 *   <li>{@link ProbeCycle} and {@link IndirectProbes} detect failures,
 *   <li>{@link UpdateProcessor} applies updates and marks members as suspect or dead,
 *   <li>{@link SuspicionTimers} limits the time that suspects have to refute a suspicion,
 *   <li>{@link GossipQueue} disseminates updates, {@link ListSynchronizer} compares member lists,
 *   <li>{@link ReconnectProbes} joins the cluster and rejoins it after a network partition,
 *   <li>{@link LocalHealth} extends the timeouts of a member that may itself be faulty.
 * </ul>
 *
 * <p>This class has no I/O, no clock and no threads of its own. The caller passes in messages and
 * the time, all from one thread. Times are in seconds on any monotonic clock.
 */
public final class Membership {
    /** Interval between the probes of a healthy member (SWIM's protocol period). */
    public static final double PROBE_INTERVAL_SECONDS = 0.5;

    /** Gap between events above which this process is taken to have stalled. */
    private static final double STALL_THRESHOLD_SECONDS = 2 * PROBE_INTERVAL_SECONDS;

    /** Increase of the local health score after a stall of this process. */
    private static final int STALL_PENALTY = 2;

    private final MembershipConfig config;
    private final Transport transport;
    private final DeterministicRandom random;
    private final LocalHealth localHealth;
    private final MemberTable table;
    private final SuspicionTimers suspicions;
    private final GossipQueue gossip = new GossipQueue();
    private final MessageSender sender;
    private final UpdateProcessor updates;
    private final ProbeCycle probeCycle;
    private final IndirectProbes indirectProbes;
    private final ReconnectProbes reconnectProbes;
    private final ListSynchronizer listSynchronizer;
    private double now;
    private boolean running;

    /** Network and timer of a member, and listener for state changes of other members. */
    public interface Transport {
        /** Sends a message, which may be lost, delayed or duplicated. */
        void send(MemberAddress to, Message message);

        /**
         * Schedules a call of {@link #onTimer} and cancels any call scheduled before. Earlier and
         * additional calls are harmless.
         */
        void scheduleTimer(double delaySeconds);

        /**
         * Called when the state of another member has changed.
         *
         * @param update the update that changed the state
         * @param previous the state before the update; null if the member was unknown
         * @param reportedBy the member that sent the update; this member if its own probes or
         *     timers caused the change
         */
        void memberChanged(MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy);
    }

    /** Creates a member that is not running until {@link #start} is called. */
    public Membership(MembershipConfig config, Transport transport) {
        this.config = config;
        this.transport = transport;
        random = new DeterministicRandom(config.randomSeed());
        localHealth = new LocalHealth(config.localHealthAware());
        MemberUpdate self =
                new MemberUpdate(
                        config.id(),
                        config.address(),
                        config.incarnation(),
                        MemberUpdate.State.ALIVE,
                        0);
        table = new MemberTable(self, random);
        suspicions = new SuspicionTimers(table, localHealth);
        sender = new MessageSender(config.cluster(), table, gossip, transport);
        updates = new UpdateProcessor(table, suspicions, gossip, localHealth, transport);
        probeCycle = new ProbeCycle(table, sender, gossip, updates, localHealth, random);
        indirectProbes = new IndirectProbes(sender);
        reconnectProbes = new ReconnectProbes(config.seeds(), table, sender, random);
        listSynchronizer = new ListSynchronizer(table, sender, gossip, random);
    }

    /** Returns the update in which this member announces itself. */
    public MemberUpdate self() {
        return table.self();
    }

    /** Returns the latest update of this or another member; null if the member is unknown. */
    public MemberUpdate find(PeerId id) {
        if (table.isSelf(id)) {
            return table.self();
        }
        MemberRecord member = table.find(id);
        return member == null ? null : member.update();
    }

    /**
     * Returns the seconds since the last state change of another member; 0 for this member and for
     * unknown ones.
     */
    public double secondsInState(PeerId id) {
        MemberRecord member = table.find(id);
        return member == null ? 0 : now - member.stateSince();
    }

    /** Returns all other members ordered by name, including those that are dead or have left. */
    public List<MemberUpdate> others() {
        return table.updatesAfter(null);
    }

    /** Returns the number of members that are neither dead nor have left, including this one. */
    public int aliveCount() {
        return table.aliveCount();
    }

    /** Returns the score of the local health multiplier, which is 0 for a healthy member. */
    public int localHealthScore() {
        return localHealth.score();
    }

    /** Sets the current time. The caller must call this method before each event. */
    public void advanceTo(double time) {
        double gap = time - now;
        now = time;
        if (running
                && localHealth.isEnabled()
                && gap > STALL_THRESHOLD_SECONDS
                && probeCycle.nextProbeAt() < time - STALL_THRESHOLD_SECONDS) {
            recoverFromStall(gap);
        }
    }

    /** Discards pending probes, since responses missed during a stall do not indicate failures. */
    private void recoverFromStall(double stallSeconds) {
        probeCycle.restart(now);
        indirectProbes.clear();
        listSynchronizer.abort();
        suspicions.postpone(stallSeconds);
        localHealth.degrade(STALL_PENALTY);
    }

    /** Starts probing other members and handling messages. */
    public void start() {
        running = true;
        probeCycle.start(now);
        runDueTasks();
    }

    /** Runs the tasks that are due; see {@link Transport#scheduleTimer}. */
    public void onTimer() {
        if (running) {
            runDueTasks();
        }
    }

    /** Announces to some members that this member leaves, then stops it. */
    public void leave() {
        if (!running) {
            return;
        }
        running = false;
        table.markSelfLeft();
        List<MemberRecord> receivers = random.shuffled(table.probeOrder().members());
        int count = Math.min(sender.transmitLimit(), receivers.size());
        for (MemberRecord receiver : receivers.subList(0, count)) {
            // This ack answers no ping. Its header carries this member's state.
            sender.ack(receiver.address(), 0);
        }
    }

    /**
     * Stops without an announcement, since another process continues as the same member. The member
     * may be started again by {@link #start}.
     */
    public void stop() {
        running = false;
    }

    /** Handles a message received from an address. Ignores messages of other clusters. */
    public void receive(MemberAddress from, Message message) {
        if (!running || message.header().cluster() != config.cluster()) {
            return;
        }
        MemberUpdate messageSender = message.header().sender();
        if (isThisProcess(messageSender)) {
            // The network has reflected a message of this member itself.
            return;
        }
        PeerId senderId = messageSender.id();
        MemberRecord known = table.find(senderId);
        boolean wasTombstone = known != null && !known.isAlive();
        applyUpdates(message);
        if (table.isSelf(senderId)) {
            // An earlier process of the same name, which gets no response, has sent the message.
            return;
        }
        if (wasTombstone) {
            // The sender may not know that it was declared dead. Once notified, it refutes the
            // claim.
            gossip.prioritize(table.find(senderId).update());
        }
        handle(from, message);
        listSynchronizer.compareDigest(message.header(), now);
        runDueTasks();
    }

    private boolean isThisProcess(MemberUpdate other) {
        MemberUpdate self = table.self();
        return other.id().equals(self.id())
                && other.incarnation() == self.incarnation()
                && other.address().equals(self.address());
    }

    private void applyUpdates(Message message) {
        MemberUpdate messageSender = message.header().sender();
        PeerId reportedBy = messageSender.id();
        updates.apply(messageSender, reportedBy, UpdateProcessor.Dissemination.GOSSIP, now);
        UpdateProcessor.Dissemination dissemination =
                message instanceof Message.SyncPage
                        ? UpdateProcessor.Dissemination.NONE
                        : UpdateProcessor.Dissemination.GOSSIP;
        for (MemberUpdate update : message.header().updates()) {
            updates.apply(update, reportedBy, dissemination, now);
        }
    }

    private void handle(MemberAddress from, Message message) {
        int sequenceNumber = message.sequenceNumber();
        if (message instanceof Message.Ping) {
            sender.ack(from, sequenceNumber);
        } else if (message instanceof Message.Ack) {
            indirectProbes.onAck(sequenceNumber);
            probeCycle.onAck(sequenceNumber);
        } else if (message instanceof Message.Nack) {
            probeCycle.onNack(sequenceNumber);
        } else if (message instanceof Message.PingRequest request) {
            indirectProbes.onRequest(from, request, now);
        } else if (message instanceof Message.SyncRequest request) {
            listSynchronizer.onRequest(from, request);
        } else if (message instanceof Message.SyncPage page) {
            listSynchronizer.onPage(page, now);
        }
        // Lease messages are handled by QuotaLeases and LeaseVoter; only their headers matter here.
    }

    /** Runs the tasks that are due and schedules the next call of {@link #onTimer}. */
    private void runDueTasks() {
        probeCycle.checkTimeouts(now);
        indirectProbes.checkTimeouts(now);
        updates.declareExpiredSuspectsDead(now);
        listSynchronizer.checkTimeout(now);
        if (probeCycle.beginIfDue(now)) {
            reconnectProbes.ping();
            table.removeExpiredTombstones(now);
        }
        transport.scheduleTimer(Math.max(0, nextDeadline() - now));
    }

    private double nextDeadline() {
        double next = Math.min(probeCycle.nextDeadline(), suspicions.nextDeadline());
        return Math.min(next, indirectProbes.nextDeadline());
    }
}
