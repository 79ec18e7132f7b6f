package wheelroute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Probes that this member performs at the request of others (SWIM's ping-req). An ack of the target
 * is forwarded to the requester. If no ack arrives in time, the requester is sent a nack, which is
 * an extension of Lifeguard.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class IndirectProbes {
    /** Time after a request during which an ack is forwarded. */
    private static final double RETENTION_SECONDS = 4 * Membership.PROBE_INTERVAL_SECONDS;

    private final MessageSender sender;

    /** Pending probes by the sequence number of this member's ping to the target. */
    private final Map<Integer, IndirectProbe> probes = new HashMap<>();

    /** A pending probe with the requester's own sequence number. */
    private record IndirectProbe(
            MemberAddress requester,
            int sequenceNumber,
            double nackAt,
            double expiresAt,
            boolean nackSent) {
        IndirectProbe withNackSent() {
            return new IndirectProbe(requester, sequenceNumber, nackAt, expiresAt, true);
        }

        double nextDeadline() {
            return nackSent ? expiresAt : nackAt;
        }
    }

    IndirectProbes(MessageSender sender) {
        this.sender = sender;
    }

    /** Pings the target of a request on behalf of the requester. */
    void onRequest(MemberAddress requester, Message.PingRequest request, double now) {
        int sequenceNumber = sender.nextSequenceNumber();
        probes.put(
                sequenceNumber,
                new IndirectProbe(
                        requester,
                        request.sequenceNumber(),
                        now + ProbeCycle.ACK_TIMEOUT_SECONDS,
                        now + RETENTION_SECONDS,
                        false));
        sender.ping(request.target().address(), sequenceNumber);
    }

    /** Forwards an ack to the requester. Acks of pings that are not indirect probes are ignored. */
    void onAck(int sequenceNumber) {
        IndirectProbe probe = probes.remove(sequenceNumber);
        if (probe != null) {
            sender.ack(probe.requester, probe.sequenceNumber);
        }
    }

    /** Sends the nacks that are due and removes expired probes. */
    void checkTimeouts(double now) {
        for (Map.Entry<Integer, IndirectProbe> entry : new ArrayList<>(probes.entrySet())) {
            IndirectProbe probe = entry.getValue();
            if (now >= probe.expiresAt) {
                probes.remove(entry.getKey());
            } else if (now >= probe.nackAt && !probe.nackSent) {
                probes.put(entry.getKey(), probe.withNackSent());
                sender.nack(probe.requester, probe.sequenceNumber);
            }
        }
    }

    /**
     * Returns when {@link #checkTimeouts} is due next; positive infinity if no probe is pending.
     */
    double nextDeadline() {
        double next = Double.POSITIVE_INFINITY;
        for (IndirectProbe probe : probes.values()) {
            next = Math.min(next, probe.nextDeadline());
        }
        return next;
    }

    /** Abandons all pending probes without notice to their requesters. */
    void clear() {
        probes.clear();
    }
}
