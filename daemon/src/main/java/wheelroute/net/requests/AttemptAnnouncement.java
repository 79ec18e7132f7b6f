package wheelroute.net.requests;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;
import wheelroute.net.history.RequestIdentity;

/**
 * What one process tells another of a request that must not run twice, as one line of JSON.
 *
 * @param attempt the first attempt that may have run; null if the message is about the request only
 */
record AttemptAnnouncement(RequestIdentity identity, EarlierAttempt attempt) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String REQUEST_CLASS = "class";
    private static final String KEY = "key";
    private static final String ZONE = "zone";
    private static final String CELL = "cell";
    private static final String AGE_SECONDS = "age";

    /**
     * Encodes the announcement. The time of the attempt is encoded as its age, because the clocks
     * of two processes may differ.
     */
    String encode(double now) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField(REQUEST_CLASS, identity.requestClass());
            json.writeStringField(KEY, identity.key());
            if (attempt != null) {
                encodeAttempt(json, now);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write JSON to a string", e);
        }
        return out.toString();
    }

    private void encodeAttempt(JsonGenerator json, double now) throws IOException {
        if (attempt.zone() != null) {
            json.writeStringField(ZONE, attempt.zone().name());
            json.writeNumberField(CELL, attempt.cell().value());
        }
        json.writeNumberField(AGE_SECONDS, now - attempt.sentAt());
    }

    /**
     * Decodes an announcement.
     *
     * @throws IOException if the text is malformed
     */
    static AttemptAnnouncement decode(String text, double now) throws IOException {
        String requestClass = null;
        String key = null;
        Ids.Zone zone = null;
        Ids.Cell cell = null;
        double ageSeconds = Double.NaN;
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                expect(json.nextToken() != null);
                switch (name) {
                    case REQUEST_CLASS -> requestClass = json.getText();
                    case KEY -> key = json.getText();
                    case ZONE -> zone = new Ids.Zone(json.getText());
                    case CELL -> cell = new Ids.Cell(json.getLongValue());
                    case AGE_SECONDS -> ageSeconds = json.getDoubleValue();
                    default -> json.skipChildren();
                }
            }
        }
        expect(requestClass != null && key != null && (zone == null) == (cell == null));
        EarlierAttempt attempt =
                Double.isNaN(ageSeconds) ? null : new EarlierAttempt(zone, cell, now - ageSeconds);
        return new AttemptAnnouncement(new RequestIdentity(requestClass, key), attempt);
    }

    private static void expect(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("the announcement has no request class and key");
        }
    }
}
