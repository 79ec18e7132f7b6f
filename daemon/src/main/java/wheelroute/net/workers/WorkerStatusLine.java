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
 * @param id ID of the request
 * @param progressFraction the fraction of the work that is done, from 0 to 1; 0 if absent
 * @param result the result for the client; null if absent
 * @param freeSlots number of free slots in the load report; NaN if absent
 */
record WorkerStatusLine(
        String id, State state, double progressFraction, byte[] result, double freeSlots) {
    /** The state of the attempt that the line reports. */
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
    private static final String FREE_SLOTS_KEY = "x0";

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
                throw new MalformedResponseException(
                        "expected a JSON object in each line, got " + parser.currentToken());
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "id" -> id = parser.getText();
                    case "state" -> state = parseState(parser.getText());
                    case "share" -> progressFraction = parser.getDoubleValue();
                    case "result" -> result = readResult(parser, value);
                    case "load" -> freeSlots = readFreeSlots(parser, value);
                    default -> parser.skipChildren();
                }
            }
            if (parser.nextToken() != null) {
                throw new MalformedResponseException(
                        "expected one JSON object in a line, got "
                                + parser.currentToken()
                                + " after it");
            }
        }
        if (id == null) {
            throw new MalformedResponseException("expected a request ID in each line, got none");
        }
        return new WorkerStatusLine(id, state, progressFraction, result, freeSlots);
    }

    private static State parseState(String name) {
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

    /** Reads the current value: the text of a string, or the JSON of any other value. */
    private static byte[] readResult(JsonParser parser, JsonToken value) throws IOException {
        if (value == JsonToken.VALUE_STRING) {
            return parser.getText().getBytes(StandardCharsets.UTF_8);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.copyCurrentStructure(parser);
        }
        return out.toByteArray();
    }

    private static double readFreeSlots(JsonParser parser, JsonToken value) throws IOException {
        double freeSlots = Double.NaN;
        if (value != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return freeSlots;
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (parser.nextToken().isNumeric() && name.equals(FREE_SLOTS_KEY)) {
                freeSlots = parser.getDoubleValue();
            } else {
                parser.skipChildren();
            }
        }
        return freeSlots;
    }

    /**
     * Returns the number of free slots in the load report of a header field; NaN if the field is
     * null or malformed, or does not contain this number.
     */
    static double freeSlotsInHeader(String header) {
        for (String pair : header == null ? new String[0] : header.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).trim().equals(FREE_SLOTS_KEY)) {
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
