package wheelroute.net.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * One line of a worker's response.
 *
 * @param id of the request
 * @param share the part of the work that is done, from 0 to 1; 0 when not given
 * @param result what goes to the client; null when not given
 * @param freeSlots from a load report; NaN when not given
 */
record WorkerStatusLine(String id, State state, double share, byte[] result, double freeSlots) {
    /** What the line says of the attempt. */
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
     * Reads a line. Unknown fields are ignored.
     *
     * @throws IOException if it is not one JSON object with an id
     */
    static WorkerStatusLine decode(byte[] line) throws IOException {
        String id = null;
        State state = State.UNKNOWN;
        double share = 0;
        byte[] result = null;
        double freeSlots = Double.NaN;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("a line is not an object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "id" -> id = parser.getText();
                    case "state" -> state = state(parser.getText());
                    case "share" -> share = parser.getDoubleValue();
                    case "result" -> result = result(parser, value);
                    case "load" -> freeSlots = freeSlots(parser, value);
                    default -> parser.skipChildren();
                }
            }
            if (parser.nextToken() != null) {
                throw new IOException("a line goes on after its object");
            }
        }
        if (id == null) {
            throw new IOException("a line has no id");
        }
        return new WorkerStatusLine(id, state, share, result, freeSlots);
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

    /** A string goes to the client as its text, anything else as its JSON. */
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

    /** Reads a load report from a header field; null, and what is malformed, is no report. */
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
