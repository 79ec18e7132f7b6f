package wheelroute.net.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * One line of a worker's answer, decoded.
 *
 * @param share the part that is done; 0 when not told
 * @param result what goes to the client; null when not told
 * @param freeSlots from a load report; NaN when not told
 */
record WorkerStatusLine(String id, State state, double share, byte[] result, double freeSlots) {
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

    private static State state(String word) {
        return switch (word) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> State.UNKNOWN;
        };
    }

    /** A text goes on as it is, anything else as its JSON. */
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

    /** The same from an answer's header; what is not name=number is no report. */
    static double freeSlots(String header) {
        for (String pair : header == null ? new String[0] : header.split(",")) {
            int eq = pair.indexOf('=');
            if (eq > 0 && pair.substring(0, eq).trim().equals(FREE_SLOTS)) {
                try {
                    return Double.parseDouble(pair.substring(eq + 1).trim());
                } catch (NumberFormatException e) {
                    return Double.NaN;
                }
            }
        }
        return Double.NaN;
    }
}
