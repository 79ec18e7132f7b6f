package wheelroute.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;

/**
 * Flattens nested JSON to path=value pairs, the form that the simulator's wire has for the same
 * settings: a list of plain values is joined with commas; a list of objects has its length under
 * .count and its items under .0, .1 and so on. Nulls are left out.
 */
final class JsonFlattener {
    private JsonFlattener() {}

    /**
     * Adds the pairs of the value that the parser is at, and moves the parser to the value's end.
     *
     * @param path of the value; empty for the root
     */
    static void flatten(JsonParser parser, String path, Map<String, String> pairs)
            throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path.isEmpty() ? name : path + "." + name, pairs);
                }
            }
            case START_ARRAY -> flattenList(parser, path, pairs);
            case VALUE_NULL -> {}
            // Unchanged: a name must be the one that appears in paths and headers.
            default -> pairs.put(path, parser.getText());
        }
    }

    private static void flattenList(JsonParser parser, String path, Map<String, String> pairs)
            throws IOException {
        StringBuilder joinedValues = new StringBuilder();
        int objectCount = 0;
        int valueCount = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isScalarValue()) {
                // The comma separates values, so a value must not contain one.
                joinedValues
                        .append(valueCount++ > 0 ? "," : "")
                        .append(parser.getText().replace(',', '_'));
            } else {
                flatten(parser, path + "." + objectCount++, pairs);
            }
        }
        pairs.put(path + ".count", Integer.toString(objectCount));
        pairs.put(path, joinedValues.toString());
    }
}
