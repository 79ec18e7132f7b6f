package wheelroute.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;

/**
 * Flattens nested JSON to path=value pairs, the format in which the simulator's wire carries the
 * same settings. The values of a list are joined with commas. The objects of a list are under .0,
 * .1 and so on, and their number is under .count. Nulls are omitted.
 */
final class JsonFlattener {
    private JsonFlattener() {}

    /**
     * Adds the pairs of the value at the parser's position, and moves the parser to its end.
     *
     * @param path path of the value; empty for the root
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
            // A value stays unchanged, so that names equal those in request paths and headers.
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
                // A comma within a value would be read as the separator.
                joinedValues
                        .append(valueCount++ > 0 ? "," : "")
                        .append(parser.getText().replace(',', '_'));
            } else {
                flatten(parser, path + "." + objectCount++, pairs);
            }
        }
        pairs.put(path + ConfigKeys.COUNT_SUFFIX, Integer.toString(objectCount));
        pairs.put(path, joinedValues.toString());
    }
}
