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
 * Encodes the attempt key of a request in its id and its work in its body, and decodes both at the
 * worker. The dispatcher forwards id and body unchanged.
 */
public final class JobCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String ID_PREFIX = "wr-";
    private static final int HEX_RADIX = 16;

    /**
     * Work that a worker has to do for a request.
     *
     * @param requestId number decoded from the id of the request; negative for a request that the
     *     kit did not send
     * @param work duration of the work in seconds
     * @param memory memory that the request occupies at the worker, in the unit of the scenario's
     *     memory limits
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
     * Decodes a request. Fields that are missing in the body have default values.
     *
     * @param defaultWork work in seconds if the body does not state any
     */
    public static Job decode(ClientRequest message, double defaultWork) {
        double work = defaultWork;
        int slots = 1;
        double memory = 0;
        try (JsonParser parser = JSON.createParser(message.body())) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    boolean isNumeric = parser.nextToken().isNumeric();
                    switch (isNumeric ? name : "") {
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
                // Another program sent an id that begins with the prefix of the kit.
                return -1;
            }
        }
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return -1 - crc.getValue();
    }
}
