package wheelroute.peers;

import java.util.List;

/**
 * This member's own probes, SWIM's failure detector. Once per interval it pings one other member.
 * Without an ack in time it requests indirect probes from some others (see {@link IndirectProbes}
 * for their side), and if no ack has arrived by the end of the interval the member is suspected.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class ProbeCycle {
    /** Time from a ping to the requests for indirect probes; an ack normally takes far less. */
    static final double ACK_TIMEOUT_SECONDS = 0.2;

    /** Number of indirect probes (SWIM's k), so that a single lossy path is not decisive. */
    private static final int INDIRECT_PROBES = 3;

    private final MemberTable table;
    private final MessageSender sender;
    private final GossipQueue gossip;
    private final UpdateProcessor updates;
    private final LocalHealth localHealth;
    private final DeterministicRandom random;

    /** The probe of the current interval; null if there is none. */
    private Probe probe;

    private double nextProbeAt = Double.POSITIVE_INFINITY;

    private enum ProbeState {
        /** The target was pinged. */
        AWAITING_ACK,
        /** No ack in time; indirect probes were requested. */
        AWAITING_INDIRECT_ACK,
        /** An ack has arrived, directly or through another member. */
        ACKNOWLEDGED
    }

    private static final class Probe {
        final MemberRecord target;
        final int sequenceNumber;
        final double ackDeadline;
        final double endsAt;
        ProbeState state = ProbeState.AWAITING_ACK;
        int indirectRequests;
        int nacks;

        Probe(MemberRecord target, int sequenceNumber, double ackDeadline, double endsAt) {
            this.target = target;
            this.sequenceNumber = sequenceNumber;
            this.ackDeadline = ackDeadline;
            this.endsAt = endsAt;
        }

        double nextDeadline() {
            return state == ProbeState.AWAITING_ACK ? ackDeadline : endsAt;
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

    /** Abandons the current probe without a result and makes the next one due now. */
    void restart(double now) {
        probe = null;
        nextProbeAt = now;
    }

    double nextProbeAt() {
        return nextProbeAt;
    }

    /** Returns when {@link #checkTimeouts} or {@link #beginIfDue} has something to do next. */
    double nextDeadline() {
        return probe == null ? nextProbeAt : Math.min(nextProbeAt, probe.nextDeadline());
    }

    /** Requests indirect probes if the ack is late, and ends the probe after its interval. */
    void checkTimeouts(double now) {
        if (probe != null && probe.state == ProbeState.AWAITING_ACK && now >= probe.ackDeadline) {
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
            // Lifeguard's buddy system: the ping tells a suspect of the suspicion, to refute it.
            gossip.prioritize(target.update());
        }
        probe =
                new Probe(
                        target,
                        sender.nextSequenceNumber(),
                        now + ACK_TIMEOUT_SECONDS * multiplier,
                        now + Membership.PROBE_INTERVAL_SECONDS * multiplier);
        sender.ping(target.address(), probe.sequenceNumber);
    }

    /** Records an ack from the target, or from a member that probed it for this one. */
    void onAck(int sequenceNumber) {
        if (isCurrent(sequenceNumber) && probe.state != ProbeState.ACKNOWLEDGED) {
            probe.state = ProbeState.ACKNOWLEDGED;
            localHealth.improve();
        }
    }

    /** Records that an indirect probe got no ack in time either. */
    void onNack(int sequenceNumber) {
        if (isCurrent(sequenceNumber)) {
            probe.nacks++;
        }
    }

    private boolean isCurrent(int sequenceNumber) {
        return probe != null && probe.sequenceNumber == sequenceNumber;
    }

    private void requestIndirectProbes() {
        probe.state = ProbeState.AWAITING_INDIRECT_ACK;
        List<MemberRecord> helpers = random.shuffled(table.probeOrder().members());
        helpers.remove(probe.target);
        for (MemberRecord helper : helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()))) {
            probe.indirectRequests++;
            sender.pingRequest(helper.address(), probe.sequenceNumber, probe.target.update());
        }
        // A second ping, as the first one or its ack may have been lost.
        sender.ping(probe.target.address(), probe.sequenceNumber);
    }

    private void endProbe(double now) {
        Probe ended = probe;
        probe = null;
        if (ended.state == ProbeState.ACKNOWLEDGED) {
            return;
        }
        // A helper that does not even send a nack suggests that this member is unreachable itself.
        int missedNacks = ended.indirectRequests - ended.nacks;
        localHealth.degrade(ended.indirectRequests == 0 ? 1 : missedNacks);
        updates.suspect(ended.target, now);
    }
}
