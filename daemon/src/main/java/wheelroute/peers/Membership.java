package wheelroute.peers;

import java.util.List;

/**
 * Which dispatchers are alive: SWIM (Das, Gupta, Motivala, 2002) with the extensions of Lifeguard
 * (Dadgar, Phillips, Currey, 2017). docs/design/peers.md says what is taken from them and what is
 * changed. This class takes the events in and passes each to the part that it concerns:
 *
 * <ul>
 *   <li>{@link ProbeCycle} and {@link IndirectProbes} detect failures,
 *   <li>{@link UpdateProcessor} decides what is believed, and marks members as suspect or dead,
 *   <li>{@link SuspicionTimers} gives suspects time to refute,
 *   <li>{@link GossipQueue} disseminates updates, {@link ListSynchronizer} compares whole lists,
 *   <li>{@link ReconnectProbes} joins, and rejoins after a partition,
 *   <li>{@link LocalHealth} slows a member down that may itself be the faulty one.
 * </ul>
 *
 * <p>No I/O, no clock, no threads: the caller passes in time and messages from one thread. Times
 * are in seconds of any monotonic clock.
 */
public final class Membership {
    /** Interval between the probes of one member in seconds (SWIM's protocol period). */
    public static final double PROBE_INTERVAL_SECONDS = 0.5;

    /** A gap between events that is longer shows that this process did not run. */
    private static final double STALL_THRESHOLD = 2 * PROBE_INTERVAL_SECONDS;

    /** By how much a stall degrades the local health. */
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

    /** What a member needs from its surroundings. */
    public interface Transport {
        /** Sends a message; it may be lost, delayed or duplicated. */
        void send(MemberAddress to, Message message);

        /**
         * Requests a call of {@link #onTimer} after this many seconds. Supersedes earlier requests;
         * calls that come earlier or more often do no harm.
         */
        void scheduleTimer(double delay);

        /**
         * The state of another member has changed.
         *
         * @param update its new state
         * @param previous its state before; null if it was unknown
         * @param reportedBy the member that reported the change; this one itself for its own probes
         */
        void memberChanged(MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy);
    }

    /** Creates a member that is not started yet. */
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

    // ---- state

    /** This member as it announces itself. */
    public MemberUpdate self() {
        return table.self();
    }

    /** What is known of a member, this one included; null if it is unknown. */
    public MemberUpdate find(PeerId id) {
        if (table.isSelf(id)) {
            return table.self();
        }
        MemberRecord member = table.find(id);
        return member == null ? null : member.update();
    }

    /** Seconds since the state of another member last changed; 0 for this one. */
    public double timeInState(PeerId id) {
        MemberRecord member = table.find(id);
        return member == null ? 0 : now - member.stateSince();
    }

    /** The others ordered by name, also those that are dead or have left. */
    public List<MemberUpdate> others() {
        return table.updatesAfter(null);
    }

    /** Number of members that are not dead and have not left, this one included. */
    public int aliveCount() {
        return table.aliveCount();
    }

    /** Score of the local health multiplier; 0 for healthy. */
    public int localHealthScore() {
        return localHealth.score();
    }

    // ---- events

    /** Sets the time; to be called before each event. */
    public void advanceTo(double time) {
        double gap = time - now;
        now = time;
        if (running
                && localHealth.isEnabled()
                && gap > STALL_THRESHOLD
                && probeCycle.nextProbeAt() < time - STALL_THRESHOLD) {
            recoverFromStall(gap);
        }
    }

    /** This process did not run: responses missed meanwhile are not held against the others. */
    private void recoverFromStall(double gap) {
        probeCycle.restart(now);
        indirectProbes.clear();
        listSynchronizer.abort();
        suspicions.postpone(gap);
        localHealth.degrade(STALL_PENALTY);
    }

    /** Starts to probe, and to answer. */
    public void start() {
        running = true;
        probeCycle.start(now);
        runDueTasks();
    }

    /** Does what is due; see {@link Transport#scheduleTimer}. */
    public void onTimer() {
        if (running) {
            runDueTasks();
        }
    }

    /** Announces that this member leaves, and stops. */
    public void leave() {
        if (!running) {
            return;
        }
        running = false;
        table.markSelfLeft();
        List<MemberRecord> receivers = random.shuffled(table.probeOrder().members());
        int count = Math.min(sender.transmitLimit(), receivers.size());
        for (MemberRecord receiver : receivers.subList(0, count)) {
            // An unsolicited ack: what matters is the sender in its header.
            sender.ack(receiver.address(), 0);
        }
    }

    /**
     * Stops without an announcement, as another process continues as the same member. {@link
     * #start} resumes.
     */
    public void stop() {
        running = false;
    }

    /** A message has arrived from this address. */
    public void receive(MemberAddress from, Message message) {
        if (!running || message.header().cluster() != config.cluster()) {
            return;
        }
        MemberUpdate messageSender = message.header().sender();
        if (isThisProcess(messageSender)) {
            // Our own message, returned by the network.
            return;
        }
        PeerId senderId = messageSender.id();
        MemberRecord known = table.find(senderId);
        boolean wasGivenUp = known != null && !known.isAlive();
        applyUpdates(message);
        if (table.isSelf(senderId)) {
            // An earlier process of the same name; it is not answered.
            return;
        }
        if (wasGivenUp) {
            // It may not know yet that it is held to be dead, and refutes as soon as it does.
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
        // Lease messages are QuotaLeases' and LeaseVoter's; only their header matters here.
    }

    /** Does whatever is due by now, and schedules the next call. */
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
