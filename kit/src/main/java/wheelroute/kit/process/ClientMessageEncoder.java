package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MICROS_PER_SECOND;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Locale;
import wheelroute.decision.Idempotency;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.net.http.HttpMessageBuilder;

/** Encodes the requests that clients send to one dispatcher. */
final class ClientMessageEncoder {
    private final InetSocketAddress address;

    ClientMessageEncoder(InetSocketAddress address) {
        this.address = address;
    }

    /**
     * Returns the HTTP request of an attempt, head and body.
     *
     * @param timeoutSeconds time within which the dispatcher must answer, counted from the last
     *     byte of the request
     */
    byte[] encode(ClientAttempt attempt, double timeoutSeconds) {
        ClientRequest request = attempt.request();
        HttpMessageBuilder head =
                new HttpMessageBuilder("POST /" + request.requestClass().name() + " HTTP/1.1")
                        .field("Host", address.getAddress().getHostAddress())
                        .field("X-Request-ID", JobCodec.encodeId(attempt))
                        .field("X-Timeout", String.format(Locale.ROOT, "%.3f", timeoutSeconds));
        addOptionalFields(head, attempt, request);
        ByteBuffer[] parts = head.body(JobCodec.encodeBody(attempt));
        ByteBuffer message = ByteBuffer.allocate(parts[0].remaining() + parts[1].remaining());
        message.put(parts[0]).put(parts[1]);
        return message.array();
    }

    private static void addOptionalFields(
            HttpMessageBuilder head, ClientAttempt attempt, ClientRequest request) {
        if (!Double.isNaN(request.costEstimate())) {
            head.field(
                    "X-Cost",
                    Long.toString(Math.round(MICROS_PER_SECOND * request.costEstimate())));
        }
        if (!request.tenant().name().isEmpty()) {
            head.field("X-Tenant-ID", request.tenant().name());
        }
        if (attempt.number() > 0) {
            head.field("X-Retried", "1");
        }
        int slots = request.requestClass().slots();
        if (slots > 1) {
            head.field("X-Attrs", "slots=" + slots);
        }
        if (request.requestClass().idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            head.field("Idempotency-Key", "key-" + request.number());
        }
    }
}
