package wheelroute.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;

/**
 * Nested JSON as path=value pairs, just as the bench's wire writes the same settings: a list of
 * plain values is joined with commas, a list of objects has its length under .count and its items
 * under .0, .1 and so on.
 */
final class JsonFlattener {
    private JsonFlattener() {}

    /** Adds what the value holds on which the parser stands; its own path is the prefix. */
    static void flatten(JsonParser parser, String path, Map<String, String> into)
            throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path.isEmpty() ? name : path + "." + name, into);
                }
            }
            case START_ARRAY -> list(parser, path, into);
            case VALUE_NULL -> {}
            // As it is: names come in paths and headers, and a stand-in for a blank would be
            // another.
            default -> into.put(path, parser.getText());
        }
    }

    private static void list(JsonParser parser, String path, Map<String, String> into)
            throws IOException {
        StringBuilder plain = new StringBuilder();
        int objects = 0;
        int values = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isScalarValue()) {
                // A comma parts the list, so that none may come from a value.
                plain.append(values++ > 0 ? "," : "").append(parser.getText().replace(',', '_'));
            } else {
                flatten(parser, path + "." + objects++, into);
            }
        }
        into.put(path + ".count", Integer.toString(objects));
        into.put(path, plain.toString());
    }
}
