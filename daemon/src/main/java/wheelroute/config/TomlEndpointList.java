package wheelroute.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Converts the workers of an operator's TOML file to an endpoint list in the format of discovery.
 */
final class TomlEndpointList {
    private static final int MAX_CELL = 1 << 30;
    private static final double MIN_WEIGHT = 0.000001;
    private static final double MAX_WEIGHT = 1e9;

    /** Texts that need no escapes in JSON. */
    private static final Pattern PLAIN_TEXT = Pattern.compile("[ -~&&[^\"\\\\]]*");

    /** Texts without spaces that need no escapes in JSON. */
    private static final Pattern PLAIN_NAME = Pattern.compile("[!-~&&[^\"\\\\]]*");

    private final List<String> entries = new ArrayList<>();

    /** Adds the worker that a table describes, and records errors in that table. */
    void add(TomlFields worker) {
        String name = worker.text("name", null);
        String address = worker.text("address", null);
        if (!PLAIN_NAME.matcher(name).matches()) {
            worker.addError("name", "has a character that is not allowed in a name: " + name);
        }
        if (!address.isEmpty() && SocketAddresses.parse(address) == null) {
            worker.addError("address", "is not host:port: " + address);
        }
        String zone = worker.text("zone", "");
        String model = worker.text("model", "");
        for (String text : List.of(address, zone, model)) {
            if (!PLAIN_TEXT.matcher(text).matches()) {
                worker.addError(
                        "name",
                        "has a zone, model or address that is not printable ASCII text without"
                                + " quotes and backslashes: "
                                + text);
            }
        }
        int cell = worker.integer("cell", 0, 0, MAX_CELL);
        double weight = worker.number("weight", 1, MIN_WEIGHT, MAX_WEIGHT);
        worker.rejectUnknownKeys();
        entries.add(
                ("{\"id\":\"" + name + "\",\"addr\":\"" + address + "\"")
                        + (",\"zone\":\"" + zone + "\",\"kind\":\"" + model + "\",\"cell\":" + cell)
                        + (",\"state\":\"ready\",\"weight\":" + weight + "}"));
    }

    /** Returns the endpoint list as JSON; null if it is empty. */
    byte[] toJson() {
        if (entries.isEmpty()) {
            return null;
        }
        String list =
                "{\"version\":0,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
        return list.getBytes(StandardCharsets.UTF_8);
    }
}
