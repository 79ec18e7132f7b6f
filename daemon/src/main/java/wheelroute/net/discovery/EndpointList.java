package wheelroute.net.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import wheelroute.config.SocketAddresses;
import wheelroute.decision.Endpoint;

/**
 * Discovery's endpoint list, or changes to it. This is where the list is read and written as JSON.
 *
 * @param version grows with each change
 * @param complete whether these are all endpoints; else only those that have changed
 */
public record EndpointList(long version, boolean complete, List<Entry> entries) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * One worker.
     *
     * @param id discovery's name for it
     * @param address null at most for a removed one
     * @param startedAt Unix time in seconds; NaN when it is unknown, or long ago
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String model,
            long cell,
            Endpoint.State state,
            double weight,
            double startedAt) {}

    /**
     * Reads a list as discovery sends it. Unknown fields are ignored.
     *
     * @throws IOException if it is not JSON, or a field that is needed is missing or malformed
     */
    public static EndpointList decode(byte[] json) throws IOException {
        long version = -1;
        boolean complete = false;
        List<Entry> entries = null;
        try (JsonParser parser = JSON.createParser(json)) {
            expect(parser.nextToken() == JsonToken.START_OBJECT, "the list is not an object");
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "version" -> version = parser.getLongValue();
                    case "full" -> complete = parser.getBooleanValue();
                    case "servers" -> {
                        expect(value == JsonToken.START_ARRAY, "'servers' is not a list");
                        entries = new ArrayList<>();
                        while (parser.nextToken() != JsonToken.END_ARRAY) {
                            entries.add(decodeEntry(parser));
                        }
                    }
                    default -> parser.skipChildren();
                }
            }
        }
        expect(version >= 0 && entries != null, "'version' or 'servers' is missing");
        return new EndpointList(version, complete, entries);
    }

    /** Writes the list as discovery sends it. */
    public String encode() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("version", version);
            json.writeBooleanField("full", complete);
            json.writeArrayFieldStart("servers");
            for (Entry entry : entries) {
                encode(entry, json);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toString();
    }

    private static void encode(Entry entry, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("id", entry.id());
        json.writeStringField("addr", SocketAddresses.format(entry.address()));
        json.writeStringField("zone", entry.zone());
        json.writeStringField("kind", entry.model());
        json.writeNumberField("cell", entry.cell());
        json.writeStringField(
                "state", entry.state() == Endpoint.State.READY ? "ready" : "draining");
        json.writeNumberField("weight", entry.weight());
        json.writeNumberField(
                "started_ms",
                Double.isNaN(entry.startedAt())
                        ? 0
                        : Math.round(entry.startedAt() * MILLIS_PER_SECOND));
        json.writeEndObject();
    }

    private static Entry decodeEntry(JsonParser parser) throws IOException {
        expect(parser.currentToken() == JsonToken.START_OBJECT, "a worker is not an object");
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String model = "";
        long cell = 0;
        Endpoint.State state = null;
        double weight = 1;
        double startedAt = 0;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "id" -> id = parser.getText();
                case "addr" -> address = SocketAddresses.parse(parser.getText());
                case "zone" -> zone = parser.getText();
                case "kind" -> model = parser.getText();
                case "cell" -> cell = parser.getLongValue();
                case "state" -> state = stateFrom(parser.getText());
                case "weight" -> weight = parser.getDoubleValue();
                case "started_ms" -> startedAt = parser.getDoubleValue() / MILLIS_PER_SECOND;
                default -> parser.skipChildren();
            }
        }
        expect(
                id != null && state != null && (address != null || state == Endpoint.State.REMOVED),
                "a worker lacks its id, state or address");
        return new Entry(
                id,
                address,
                zone,
                model,
                cell,
                state,
                weight,
                startedAt > 0 ? startedAt : Double.NaN);
    }

    /** A state that this version has no name for is one in which nothing new should come. */
    private static Endpoint.State stateFrom(String state) {
        return switch (state) {
            case "ready" -> Endpoint.State.READY;
            case "gone" -> Endpoint.State.REMOVED;
            default -> Endpoint.State.DRAINING;
        };
    }

    private static void expect(boolean holds, String fault) throws IOException {
        if (!holds) {
            throw new IOException(fault);
        }
    }
}
