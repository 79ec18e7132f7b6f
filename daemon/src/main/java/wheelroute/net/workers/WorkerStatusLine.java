package wheelroute.net.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import wheelroute.net.http.MalformedResponseException;

/**
 * One line of a worker's response.
 *
 * @param id of the request
 * @param progressFraction the fraction of the work that is done, from 0 to 1; 0 if absent
 * @param result for the client; null if absent
 * @param freeSlots from a load report; NaN if absent
 */
record WorkerStatusLine(
        String id, State state, double progressFraction, byte[] result, double freeSlots) {
    /** The state of the attempt. */
    enum State {
        STARTED,
        RUNNING,
        DONE,
        FAILED,
        RETURNED,
        LOST,
        UNKNOWN
    }

    private static final JsonFactory JSON = new JsonFactory();
    private static final String FREE_SLOTS = "x0";

    /**
     * Decodes a line. Ignores unknown fields.
     *
     * @throws IOException if it is not a JSON object with an id
     */
    static WorkerStatusLine decode(byte[] line) throws IOException {
        String id = null;
        State state = State.UNKNOWN;
        double progressFraction = 0;
        byte[] result = null;
        double freeSlots = Double.NaN;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedResponseException("a line is not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "id" -> id = parser.getText();
                    case "state" -> state = state(parser.getText());
                    case "share" -> progressFraction = parser.getDoubleValue();
                    case "result" -> result = result(parser, value);
                    case "load" -> freeSlots = freeSlots(parser, value);
                    default -> parser.skipChildren();
                }
            }
            if (parser.nextToken() != null) {
                throw new MalformedResponseException("a line continues after its object");
            }
        }
        if (id == null) {
            throw new MalformedResponseException("a line has no id");
        }
        return new WorkerStatusLine(id, state, progressFraction, result, freeSlots);
    }

    private static State state(String name) {
        return switch (name) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> State.UNKNOWN;
        };
    }

    /** Returns the text of a string, or the JSON of any other value. */
    private static byte[] result(JsonParser parser, JsonToken value) throws IOException {
        if (value == JsonToken.VALUE_STRING) {
            return parser.getText().getBytes(StandardCharsets.UTF_8);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.copyCurrentStructure(parser);
        }
        return out.toByteArray();
    }

    private static double freeSlots(JsonParser parser, JsonToken value) throws IOException {
        double freeSlots = Double.NaN;
        if (value != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return freeSlots;
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (parser.nextToken().isNumeric() && name.equals(FREE_SLOTS)) {
                freeSlots = parser.getDoubleValue();
            } else {
                parser.skipChildren();
            }
        }
        return freeSlots;
    }

    /** Decodes a load report in a header field. Returns NaN if it is null or malformed. */
    static double freeSlots(String header) {
        for (String pair : header == null ? new String[0] : header.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).trim().equals(FREE_SLOTS)) {
                try {
                    return Double.parseDouble(pair.substring(equals + 1).trim());
                } catch (NumberFormatException e) {
                    return Double.NaN;
                }
            }
        }
        return Double.NaN;
    }
}
