package wheelroute.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The contents of a configuration file, which is JSON from the platform or TOML from an operator.
 *
 * @param pairs all values by their paths, in the format of {@link JsonFlattener}
 * @param cachedEndpoints an endpoint list, as JSON in the format of discovery; null for none
 */
record ConfigFile(Map<String, String> pairs, byte[] cachedEndpoints) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String TOML_SUFFIX = ".toml";

    /**
     * Reads a file, which is TOML if its name ends with .toml and JSON otherwise.
     *
     * @throws ConfigException if the file cannot be read or parsed
     */
    static ConfigFile read(String path) throws ConfigException {
        try {
            if (path.endsWith(TOML_SUFFIX)) {
                return TomlFile.parse(Files.readString(Path.of(path), StandardCharsets.UTF_8));
            }
            return parseJson(Files.readAllBytes(Path.of(path)));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(
                    ConfigKeys.CONFIG_FILE_VARIABLE,
                    "names a file that cannot be read: " + e.getMessage());
        }
    }

    private static ConfigFile parseJson(byte[] json) throws IOException, ConfigException {
        Map<String, String> pairs = new HashMap<>();
        byte[] cachedEndpoints = null;
        try (JsonParser parser = JSON.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException(
                        ConfigKeys.CONFIG_FILE_VARIABLE, "names a file that is not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals(ConfigKeys.CACHED_ENDPOINTS)) {
                    cachedEndpoints = copyValue(parser);
                } else {
                    JsonFlattener.flatten(parser, name, pairs);
                }
            }
            if (parser.nextToken() != null) {
                throw new ConfigException(
                        ConfigKeys.CONFIG_FILE_VARIABLE,
                        "names a file with content after the JSON object");
            }
        }
        return new ConfigFile(pairs, cachedEndpoints);
    }

    /** Returns the JSON text of the value at the parser's position, which is decoded later. */
    private static byte[] copyValue(JsonParser parser) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.copyCurrentStructure(parser);
        }
        return out.toByteArray();
    }
}
