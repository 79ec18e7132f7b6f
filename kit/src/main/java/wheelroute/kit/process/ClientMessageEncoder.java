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
     * Returns the complete message of an attempt.
     *
     * @param timeoutSeconds that the dispatcher has, from the last byte on
     */
    byte[] encode(ClientAttempt attempt, double timeoutSeconds) {
        ClientRequest request = attempt.request();
        HttpMessageBuilder text =
                new HttpMessageBuilder("POST /" + request.requestClass().name() + " HTTP/1.1")
                        .field("Host", address.getAddress().getHostAddress())
                        .field("X-Request-ID", JobCodec.encodeId(attempt))
                        .field("X-Timeout", String.format(Locale.ROOT, "%.3f", timeoutSeconds));
        addOptionalFields(text, attempt, request);
        ByteBuffer[] parts = text.body(JobCodec.encodeBody(attempt));
        ByteBuffer message = ByteBuffer.allocate(parts[0].remaining() + parts[1].remaining());
        message.put(parts[0]).put(parts[1]);
        return message.array();
    }

    private static void addOptionalFields(
            HttpMessageBuilder text, ClientAttempt attempt, ClientRequest request) {
        if (!Double.isNaN(request.costEstimate())) {
            text.field(
                    "X-Cost",
                    Long.toString(Math.round(MICROS_PER_SECOND * request.costEstimate())));
        }
        if (!request.tenant().name().isEmpty()) {
            text.field("X-Tenant-ID", request.tenant().name());
        }
        if (attempt.number() > 0) {
            text.field("X-Retried", "1");
        }
        int slots = request.requestClass().slots();
        if (slots > 1) {
            text.field("X-Attrs", "slots=" + slots);
        }
        if (request.requestClass().idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            text.field("Idempotency-Key", "key-" + request.number());
        }
    }
}
