package wheelroute.kit.scenario;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration file of a dispatcher's process, as JSON.
 *
 * @param limits of the process's memory and open sockets
 * @param settingsByPath see {@link DaemonSettings}
 * @param peers addresses of the other dispatchers; if empty, the process joins no cluster
 */
public record DaemonConfigFile(
        String name,
        long seed,
        Scenario.Limits limits,
        Map<String, String> settingsByPath,
        List<String> peers) {
    private static final JsonFactory JSON = new JsonFactory();

    /** Returns the content of the file as JSON text. */
    public String text() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("name", name);
            json.writeStringField("seed", Long.toHexString(seed));
            writeLimits(json);
            if (!peers.isEmpty()) {
                writePeering(json);
            }
            json.writeFieldName("settings");
            write(json, tree(settingsByPath));
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "failed to write the configuration of " + name + " as JSON", e);
        }
        return out.toString();
    }

    private void writeLimits(JsonGenerator json) throws IOException {
        json.writeObjectFieldStart("limits");
        json.writeNumberField("memory_mb", limits.memoryMb());
        json.writeNumberField("sockets", limits.sockets());
        json.writeEndObject();
    }

    private void writePeering(JsonGenerator json) throws IOException {
        json.writeObjectFieldStart("peering");
        json.writeStringField("listen", "127.0.0.1:0");
        json.writeStringField("cluster", "rehearsal");
        json.writeArrayFieldStart("addresses");
        for (String peer : peers) {
            json.writeString(peer);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /**
     * A node of the settings tree: a table of named children, or a leaf with a value.
     *
     * @param value null for a table
     */
    private record Node(Map<String, Node> children, String value) {
        static Node table() {
            return new Node(new TreeMap<>(), null);
        }

        boolean isList() {
            return !children.isEmpty()
                    && children.keySet().stream().allMatch(key -> key.matches("\\d+"));
        }
    }

    private static Node tree(Map<String, String> settingsByPath) {
        Node root = Node.table();
        settingsByPath.forEach(
                (path, value) -> {
                    // The dispatcher's JSON reader adds the number of items of each list.
                    if (!path.endsWith(".count")) {
                        put(root, path, value);
                    }
                });
        return root;
    }

    private static void put(Node root, String path, String value) {
        Node table = root;
        String[] keys = path.split("\\.");
        for (int i = 0; i < keys.length - 1; i++) {
            table = table.children().computeIfAbsent(keys[i], key -> Node.table());
        }
        table.children().put(keys[keys.length - 1], new Node(Map.of(), value));
    }

    /** Writes a node. A table whose keys are all numbers becomes a JSON array. */
    private static void write(JsonGenerator json, Node node) throws IOException {
        if (node.value() != null) {
            json.writeString(node.value());
        } else if (node.isList()) {
            json.writeStartArray();
            for (int i = 0; node.children().containsKey(Integer.toString(i)); i++) {
                write(json, node.children().get(Integer.toString(i)));
            }
            json.writeEndArray();
        } else {
            json.writeStartObject();
            for (Map.Entry<String, Node> entry : node.children().entrySet()) {
                json.writeFieldName(entry.getKey());
                write(json, entry.getValue());
            }
            json.writeEndObject();
        }
    }
}
