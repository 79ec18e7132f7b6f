package wheelroute.kit.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.zip.CRC32;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.clients.ClientRequest;

/**
 * Encodes a request's number in its id and its work in its body, and decodes them at the worker.
 * The dispatcher forwards id and body unchanged.
 */
public final class JobCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String ID_PREFIX = "wr-";
    private static final int HEX_RADIX = 16;

    /**
     * What a worker has to do.
     *
     * @param requestId negative for a request that the kit did not send
     * @param work in seconds
     */
    public record Job(long requestId, double work, int slots, double memory) {}

    private JobCodec() {}

    static String encodeId(ClientAttempt attempt) {
        return ID_PREFIX + Long.toHexString(attempt.key());
    }

    static byte[] encodeBody(ClientAttempt attempt) {
        Scenario.RequestClass requestClass = attempt.request().requestClass();
        return String.format(
                        Locale.ROOT,
                        "{\"work\":%.6f,\"slots\":%d,\"memory\":%.3f}",
                        attempt.request().workSeconds(),
                        requestClass.slots(),
                        requestClass.memory())
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a request.
     *
     * @param defaultWork in seconds, of a request that the kit did not send
     */
    public static Job decode(ClientRequest message, double defaultWork) {
        double work = defaultWork;
        int slots = 1;
        double memory = 0;
        try (JsonParser parser = JSON.createParser(message.body())) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    boolean number = parser.nextToken().isNumeric();
                    switch (number ? name : "") {
                        case "work" ->
                                work = Math.max(Scenario.MIN_WORK_SECONDS, parser.getDoubleValue());
                        case "slots" -> slots = Math.max(1, parser.getIntValue());
                        case "memory" -> memory = Math.max(0, parser.getDoubleValue());
                        default -> parser.skipChildren();
                    }
                }
            }
        } catch (IOException e) {
            work = defaultWork;
        }
        return new Job(decodeId(message.id()), work, slots, memory);
    }

    private static long decodeId(String id) {
        if (id.startsWith(ID_PREFIX)) {
            try {
                return Long.parseLong(id.substring(ID_PREFIX.length()), HEX_RADIX);
            } catch (NumberFormatException e) {
                // An id of another program that begins like one of the kit.
                return -1;
            }
        }
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return -1 - crc.getValue();
    }
}
