package wheelroute.net.requests;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;

/**
 * Encodes an entry of the {@link AttemptHistory} as one line of JSON, and decodes it. Times are
 * encoded as ages, because the clocks of two processes may differ. Stateless and thread-safe.
 */
final class AttemptHistoryCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String ID = "id";
    private static final String ATTEMPTS = "attempts";

    private AttemptHistoryCodec() {}

    static String encode(AttemptHistory.Entry entry, double now) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField(ID, entry.clientId());
            json.writeArrayFieldStart(ATTEMPTS);
            for (EarlierAttempt attempt : entry.attempts()) {
                json.writeString(attempt.zone().name());
                json.writeNumber(attempt.cell().value());
                json.writeNumber(now - attempt.sentAt());
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write JSON to a string", e);
        }
        return out.toString();
    }

    /**
     * Decodes an entry.
     *
     * @throws IOException if the text is malformed
     */
    static AttemptHistory.Entry decode(String text, double now) throws IOException {
        String clientId = null;
        List<EarlierAttempt> attempts = new ArrayList<>();
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                JsonToken value = json.nextToken();
                expect(value != null);
                switch (name) {
                    case ID -> clientId = json.getText();
                    case ATTEMPTS -> decodeAttempts(json, attempts, now);
                    default -> json.skipChildren();
                }
            }
        }
        expect(clientId != null);
        return new AttemptHistory.Entry(clientId, attempts);
    }

    private static void decodeAttempts(JsonParser json, List<EarlierAttempt> attempts, double now)
            throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken() == JsonToken.VALUE_STRING);
            Ids.Zone zone = new Ids.Zone(json.getText());
            expect(json.nextToken() == JsonToken.VALUE_NUMBER_INT);
            Ids.Cell cell = new Ids.Cell(json.getLongValue());
            JsonToken age = json.nextToken();
            expect(age != null && age.isNumeric());
            attempts.add(new EarlierAttempt(zone, cell, now - json.getDoubleValue()));
        }
    }

    private static void expect(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("the entry is not an id with attempts");
        }
    }
}
