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
 * How a request names itself and its work on the wire: the dispatcher passes id and body on
 * unchanged, so a worker learns from them alone what it has to do, whoever sent them.
 */
public final class JobCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String ID_PREFIX = "wr-";
    private static final int HEX = 16;

    /** What a worker reads off a message. */
    public record Job(long requestId, double work, int slots, double memory) {}

    private JobCodec() {}

    static String encodeId(ClientAttempt clientAttempt) {
        return ID_PREFIX + Long.toHexString(clientAttempt.key());
    }

    static byte[] encodeBody(ClientAttempt clientAttempt) {
        Scenario.RequestClass requestClass = clientAttempt.request().requestClass();
        return String.format(
                        Locale.ROOT,
                        "{\"work\":%.6f,\"slots\":%d,\"memory\":%.3f}",
                        clientAttempt.request().workSeconds(),
                        requestClass.slots(),
                        requestClass.memory())
                .getBytes(StandardCharsets.UTF_8);
    }

    /** A message of somebody else's is a job of the usual work. */
    public static Job decode(ClientRequest message, double usualWork) {
        double work = usualWork;
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
            work = usualWork;
        }
        return new Job(decodeId(message.id()), work, slots, memory);
    }

    private static long decodeId(String id) {
        if (id.startsWith(ID_PREFIX)) {
            try {
                return Long.parseLong(id.substring(ID_PREFIX.length()), HEX);
            } catch (NumberFormatException e) {
                // Somebody else's after all.
                return -1;
            }
        }
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return -1 - crc.getValue();
    }
}
