package wheelroute.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Probes that this member makes at the request of others (SWIM's ping-req). An ack is forwarded to
 * the requester. Without one in time the requester gets a nack (Lifeguard's extension).
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class IndirectProbes {
    /** How long after a request an ack is still forwarded. */
    private static final double RETENTION_SECONDS = 4 * Membership.PROBE_INTERVAL_SECONDS;

    private final MessageSender sender;

    /** By the sequence number of this member's own ping. */
    private final Map<Integer, IndirectProbe> probes = new HashMap<>();

    /** A probe for another member, with that member's sequence number. */
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

    /** Pings the target of a request. */
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

    /** Forwards an ack to the requester. Ignores the ack of any other probe. */
    void onAck(int sequenceNumber) {
        IndirectProbe probe = probes.remove(sequenceNumber);
        if (probe != null) {
            sender.ack(probe.requester, probe.sequenceNumber);
        }
    }

    /** Sends the nacks that are due, and removes expired probes. */
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

    /** Returns when {@link #checkTimeouts} has something to do next; infinite for never. */
    double nextDeadline() {
        double next = Double.POSITIVE_INFINITY;
        for (IndirectProbe probe : probes.values()) {
            next = Math.min(next, probe.nextDeadline());
        }
        return next;
    }

    /** Abandons all probes. */
    void clear() {
        probes.clear();
    }
}
