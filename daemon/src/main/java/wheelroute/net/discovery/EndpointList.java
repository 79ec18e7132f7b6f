package wheelroute.net.discovery;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import wheelroute.config.SocketAddresses;
import wheelroute.decision.Endpoint;

/**
 * The endpoint list of discovery, or changes to the list, with its JSON format. Immutable and
 * thread-safe.
 *
 * @param version number that increases with each change
 * @param complete whether the entries are all endpoints, rather than only those that have changed
 */
public record EndpointList(long version, boolean complete, List<Entry> entries) {
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * An entry of the list, which describes one worker.
     *
     * @param id the name by which discovery identifies the worker
     * @param address the address that accepts requests; null only if the worker is removed
     * @param startedAt the start of the worker as Unix time in seconds by the worker's clock; NaN
     *     if unknown or long ago
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
     * Decodes a list in discovery's format. Unknown fields are ignored.
     *
     * @throws MalformedEndpointListException if a required field is missing or has the wrong form
     * @throws IOException if the text is not JSON, or a value has the wrong type
     */
    public static EndpointList decode(byte[] json) throws IOException {
        long version = -1;
        boolean complete = false;
        List<Entry> entries = null;
        try (JsonParser parser = JSON.createParser(json)) {
            expect(
                    parser.nextToken() == JsonToken.START_OBJECT,
                    "endpoint list is not a JSON object");
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "version" -> version = parser.getLongValue();
                    case "full" -> complete = parser.getBooleanValue();
                    case "servers" -> {
                        expect(value == JsonToken.START_ARRAY, "'servers' is not an array");
                        entries = decodeEntries(parser);
                    }
                    default -> parser.skipChildren();
                }
            }
        }
        expect(
                version >= 0 && entries != null,
                "'version' is missing or negative, or 'servers' is missing");
        return new EndpointList(version, complete, entries);
    }

    /** Encodes the list in discovery's format. */
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
            throw new UncheckedIOException("failed to write JSON to a string", e);
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

    private static List<Entry> decodeEntries(JsonParser parser) throws IOException {
        List<Entry> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(
                    parser.currentToken() == JsonToken.START_OBJECT,
                    "an entry of 'servers' is not an object");
            EntryDecoder entry = new EntryDecoder();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                entry.decodeField(name, parser);
            }
            entries.add(entry.toEntry());
        }
        return entries;
    }

    /** Collects the fields of one entry, which may arrive in any order. */
    private static final class EntryDecoder {
        private String id;
        private InetSocketAddress address;
        private String zone = "";
        private String model = "";
        private long cell;
        private Endpoint.State state;
        private double weight = 1;
        private double startedAt;

        void decodeField(String name, JsonParser parser) throws IOException {
            switch (name) {
                case "id" -> id = parser.getText();
                case "addr" -> address = SocketAddresses.parse(parser.getText());
                case "zone" -> zone = parser.getText();
                case "kind" -> model = parser.getText();
                case "cell" -> cell = parser.getLongValue();
                case "state" -> state = decodeState(parser.getText());
                case "weight" -> weight = parser.getDoubleValue();
                case "started_ms" -> startedAt = parser.getDoubleValue() / MILLIS_PER_SECOND;
                default -> parser.skipChildren();
            }
        }

        Entry toEntry() throws MalformedEndpointListException {
            boolean hasAddress = address != null || state == Endpoint.State.REMOVED;
            expect(
                    id != null && state != null && hasAddress,
                    "'id', 'state' or 'addr' is missing in an entry of 'servers'");
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
    }

    /**
     * Decodes a state. An unknown state counts as draining, so that the worker gets no new
     * requests.
     */
    private static Endpoint.State decodeState(String state) {
        return switch (state) {
            case "ready" -> Endpoint.State.READY;
            case "gone" -> Endpoint.State.REMOVED;
            default -> Endpoint.State.DRAINING;
        };
    }

    private static void expect(boolean condition, String message)
            throws MalformedEndpointListException {
        if (!condition) {
            throw new MalformedEndpointListException(message);
        }
    }
}
