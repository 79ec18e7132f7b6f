package wheelroute.peers;

import java.util.List;

/**
 * This member's own probes, SWIM's failure detector: once per interval it pings one other member;
 * without an ack in time it asks some others to ping that one too (see {@link IndirectProbes} for
 * their side), and if no ack arrives until the end of the interval the member becomes a suspect.
 */
final class ProbeCycle {
    /** Time until indirect probes are requested, in seconds; a response takes far less. */
    static final double ACK_TIMEOUT = 0.2;

    /** Members asked for an indirect probe (SWIM's k), so that one lossy path decides nothing. */
    private static final int INDIRECT_PROBES = 3;

    private final MemberTable table;
    private final MessageSender sender;
    private final GossipQueue gossip;
    private final UpdateProcessor updates;
    private final LocalHealth localHealth;
    private final DeterministicRandom random;
    private Probe probe;
    private double nextProbeAt = Double.POSITIVE_INFINITY;

    /** The probe of the current interval. */
    private static final class Probe {
        final MemberRecord target;
        final int sequenceNumber;
        final double ackDeadline;
        final double endsAt;
        int indirectRequests;
        int nacks;
        boolean indirect;
        boolean acknowledged;

        Probe(MemberRecord target, int sequenceNumber, double ackDeadline, double endsAt) {
            this.target = target;
            this.sequenceNumber = sequenceNumber;
            this.ackDeadline = ackDeadline;
            this.endsAt = endsAt;
        }

        double nextDeadline() {
            return acknowledged || indirect ? endsAt : ackDeadline;
        }
    }

    ProbeCycle(
            MemberTable table,
            MessageSender sender,
            GossipQueue gossip,
            UpdateProcessor updates,
            LocalHealth localHealth,
            DeterministicRandom random) {
        this.table = table;
        this.sender = sender;
        this.gossip = gossip;
        this.updates = updates;
        this.localHealth = localHealth;
        this.random = random;
    }

    /** Makes the first probe due now. */
    void start(double now) {
        nextProbeAt = now;
    }

    /** Drops the current probe without a verdict and makes the next one due now. */
    void restart(double now) {
        probe = null;
        nextProbeAt = now;
    }

    double nextProbeAt() {
        return nextProbeAt;
    }

    /** When {@link #checkTimeouts} or {@link #beginIfDue} has something to do next. */
    double nextDeadline() {
        return probe == null ? nextProbeAt : Math.min(nextProbeAt, probe.nextDeadline());
    }

    /** Requests indirect probes if the ack is late, and ends the probe at the end of its time. */
    void checkTimeouts(double now) {
        if (probe != null && !probe.acknowledged && !probe.indirect && now >= probe.ackDeadline) {
            requestIndirectProbes();
        }
        if (probe != null && now >= probe.endsAt) {
            endProbe(now);
        }
    }

    /** Begins the next interval if it is due, and returns whether it was. */
    boolean beginIfDue(double now) {
        if (now < nextProbeAt) {
            return false;
        }
        nextProbeAt = now + Membership.PROBE_INTERVAL_SECONDS * localHealth.probeMultiplier();
        if (!table.probeOrder().isEmpty()) {
            begin(now);
        }
        return true;
    }

    private void begin(double now) {
        MemberRecord target = table.probeOrder().next();
        double multiplier = localHealth.probeMultiplier();
        if (target.state() == MemberUpdate.State.SUSPECT) {
            // Lifeguard's buddy system: a suspect learns of the suspicion first, to refute it.
            gossip.prioritize(target.update());
        }
        probe =
                new Probe(
                        target,
                        sender.nextSequenceNumber(),
                        now + ACK_TIMEOUT * multiplier,
                        now + Membership.PROBE_INTERVAL_SECONDS * multiplier);
        sender.ping(target.address(), probe.sequenceNumber);
    }

    /** An ack has arrived, from the target or from a member that probed it for this one. */
    void onAck(int sequenceNumber) {
        if (isCurrent(sequenceNumber) && !probe.acknowledged) {
            probe.acknowledged = true;
            localHealth.improve();
        }
    }

    /** A member that was asked for an indirect probe got no ack either. */
    void onNack(int sequenceNumber) {
        if (isCurrent(sequenceNumber)) {
            probe.nacks++;
        }
    }

    private boolean isCurrent(int sequenceNumber) {
        return probe != null && probe.sequenceNumber == sequenceNumber;
    }

    private void requestIndirectProbes() {
        probe.indirect = true;
        List<MemberRecord> helpers = random.shuffled(table.probeOrder().members());
        helpers.remove(probe.target);
        for (MemberRecord helper : helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()))) {
            probe.indirectRequests++;
            sender.pingRequest(helper.address(), probe.sequenceNumber, probe.target.update());
        }
        // The ping or its ack may also just have been lost.
        sender.ping(probe.target.address(), probe.sequenceNumber);
    }

    private void endProbe(double now) {
        Probe ended = probe;
        probe = null;
        if (ended.acknowledged) {
            return;
        }
        // Helpers that send not even a nack: it may well be this member that cannot be reached.
        int missedNacks = ended.indirectRequests - ended.nacks;
        localHealth.degrade(ended.indirectRequests == 0 ? 1 : missedNacks);
        updates.suspect(ended.target, now);
    }
}
