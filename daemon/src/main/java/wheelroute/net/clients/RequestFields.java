package wheelroute.net.clients;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Checks and converts the header fields of a request, given under their names in lower case.
 * Immutable as long as the given map is not changed.
 */
final class RequestFields {
    /**
     * Plain decimals. Other forms that Java parses ("1e9", "0x1p3", "NaN") are rejected, as workers
     * need not support them.
     */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /** Ids and keys, which are forwarded unchanged: visible characters, limited in number. */
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,256}");

    /** Replaces malformed UTF-8 when it is decoded. */
    private static final char REPLACEMENT_CHARACTER = '\ufffd';

    private final Map<String, String> fields;
    private final Map<String, String> attributes;

    /**
     * Parses the field X-Attrs, which has further fields.
     *
     * @throws BadRequestException if it is malformed
     */
    RequestFields(Map<String, String> fields) throws BadRequestException {
        this.fields = fields;
        attributes = parseAttributes(fields.getOrDefault("x-attrs", ""));
    }

    private static Map<String, String> parseAttributes(String text) throws BadRequestException {
        Map<String, String> attributes = new HashMap<>();
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw BadRequestException.malformed("X-Attrs is not name=value: " + pair);
            }
            attributes.put(pair.substring(0, equals).trim(), pair.substring(equals + 1).trim());
        }
        return attributes;
    }

    /**
     * Checks a field that is forwarded unchanged; it may be absent.
     *
     * @throws BadRequestException if it cannot be forwarded
     */
    static void checkToken(Map<String, String> fields, String name) throws BadRequestException {
        String value = fields.get(name);
        if (value != null && !TOKEN.matcher(value).matches()) {
            throw BadRequestException.malformed(name + " cannot go on as it is");
        }
    }

    /** Returns a field's value; null if it is absent. */
    String text(String name) {
        return fields.get(name);
    }

    /**
     * Returns a field's value, or the default if it is absent.
     *
     * @throws BadRequestException if it is not a number from 0 on
     */
    double number(String name, double defaultValue) throws BadRequestException {
        return parseNumber(name, fields.get(name), defaultValue);
    }

    /** Does the same for one of the attributes in X-Attrs. */
    double attributeNumber(String name, double defaultValue) throws BadRequestException {
        return parseNumber(name, attributes.get(name), defaultValue);
    }

    private static double parseNumber(String name, String text, double defaultValue)
            throws BadRequestException {
        if (text == null) {
            return defaultValue;
        }
        if (!NUMBER.matcher(text).matches()) {
            throw BadRequestException.malformed(name + " is not a plain number from 0 on: " + text);
        }
        return Double.parseDouble(text);
    }

    /** Returns the tenant, from its own field or the attributes; empty if it is absent. */
    String tenant() {
        String tenant = fields.get("x-tenant-id");
        return decodeUtf8(tenant == null ? attributes.getOrDefault("tenant", "") : tenant);
    }

    /** Decodes a value of which the HTTP parser has made one character of each byte. */
    private static String decodeUtf8(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        String decoded = new String(bytes, StandardCharsets.UTF_8);
        return decoded.indexOf(REPLACEMENT_CHARACTER) < 0 ? decoded : value;
    }
}
