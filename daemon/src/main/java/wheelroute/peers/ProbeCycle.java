package wheelroute.peers;

import java.util.List;

/**
 * This member's own probes, which are SWIM's failure detector. Once per interval this member pings
 * another member. If no ack arrives in time, some others are requested to probe the target too (see
 * {@link IndirectProbes} for their part). If no ack has arrived by the end of the interval, the
 * target is suspected.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class ProbeCycle {
    /**
     * Time without an ack after which indirect probes are requested; acks normally take far less.
     */
    static final double ACK_TIMEOUT_SECONDS = 0.2;

    /** Number of indirect probes (SWIM's k). With several, one lossy path is not decisive. */
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
        /** The target was pinged and no timeout has passed yet. */
        AWAITING_ACK,
        /** No ack arrived in time, so indirect probes were requested. */
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

    /** Makes the first probe due at once. */
    void start(double now) {
        nextProbeAt = now;
    }

    /** Abandons the current probe without a result and makes the next probe due at once. */
    void restart(double now) {
        probe = null;
        nextProbeAt = now;
    }

    double nextProbeAt() {
        return nextProbeAt;
    }

    /** Returns when {@link #checkTimeouts} or {@link #beginIfDue} must be called next. */
    double nextDeadline() {
        return probe == null ? nextProbeAt : Math.min(nextProbeAt, probe.nextDeadline());
    }

    /**
     * Requests indirect probes if the ack is late, and ends the probe at the end of its interval.
     */
    void checkTimeouts(double now) {
        if (probe != null && probe.state == ProbeState.AWAITING_ACK && now >= probe.ackDeadline) {
            requestIndirectProbes();
        }
        if (probe != null && now >= probe.endsAt) {
            endProbe(now);
        }
    }

    /** Begins the next interval if one is due, and returns whether it was. */
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
            // By Lifeguard's buddy system, the ping informs a suspect so that it can refute.
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

    /** Records an ack from the target, or from a member that probed the target indirectly. */
    void onAck(int sequenceNumber) {
        if (isCurrent(sequenceNumber) && probe.state != ProbeState.ACKNOWLEDGED) {
            probe.state = ProbeState.ACKNOWLEDGED;
            localHealth.improve();
        }
    }

    /** Records that an indirect probe of the target got no ack in time. */
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
        List<MemberRecord> intermediaries = random.shuffled(table.probeOrder().members());
        intermediaries.remove(probe.target);
        for (MemberRecord intermediary :
                intermediaries.subList(0, Math.min(INDIRECT_PROBES, intermediaries.size()))) {
            probe.indirectRequests++;
            sender.pingRequest(intermediary.address(), probe.sequenceNumber, probe.target.update());
        }
        // The target is pinged again, as the first ping or its ack may have been lost.
        sender.ping(probe.target.address(), probe.sequenceNumber);
    }

    private void endProbe(double now) {
        Probe ended = probe;
        probe = null;
        if (ended.state == ProbeState.ACKNOWLEDGED) {
            return;
        }
        // An intermediary that sends no nack either suggests that this member itself is
        // unreachable.
        int missedNacks = ended.indirectRequests - ended.nacks;
        localHealth.degrade(ended.indirectRequests == 0 ? 1 : missedNacks);
        updates.suspect(ended.target, now);
    }
}
