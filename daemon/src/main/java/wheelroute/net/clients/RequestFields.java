package wheelroute.net.clients;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Validates and converts the header fields of a request, whose names are in lower case. Immutable
 * as long as the map of fields is not changed.
 */
final class RequestFields {
    /**
     * Matches plain decimal numbers. Other forms that Java parses ("1e9", "0x1p3", "NaN") are
     * rejected, because workers need not support them.
     */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /** Matches ids and keys of 1 to 256 visible characters, which are forwarded unchanged. */
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,256}");

    /** The character that the decoder substitutes for malformed UTF-8. */
    private static final char REPLACEMENT_CHARACTER = '\ufffd';

    private final Map<String, String> fields;
    private final Map<String, String> attributes;

    /**
     * Creates an instance and parses the attributes in the field X-Attrs.
     *
     * @throws BadRequestException if X-Attrs is malformed
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
     * Checks a field that is forwarded unchanged. The field may be absent.
     *
     * @throws BadRequestException if the value cannot be forwarded
     */
    static void checkToken(Map<String, String> fields, String name) throws BadRequestException {
        String value = fields.get(name);
        if (value != null && !TOKEN.matcher(value).matches()) {
            throw BadRequestException.malformed(name + " cannot go on as it is");
        }
    }

    /** Returns the value of a field, or null if the field is absent. */
    String text(String name) {
        return fields.get(name);
    }

    /**
     * Returns the number in a field, or the default if the field is absent.
     *
     * @throws BadRequestException if the value is not a plain non-negative number
     */
    double number(String name, double defaultValue) throws BadRequestException {
        return parseNumber(name, fields.get(name), defaultValue);
    }

    /**
     * Returns the number in an attribute of X-Attrs, or the default if the attribute is absent.
     *
     * @throws BadRequestException if the value is not a plain non-negative number
     */
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

    /** Returns the tenant from X-Tenant-Id, else from X-Attrs; empty if absent from both. */
    String tenant() {
        String tenant = fields.get("x-tenant-id");
        return decodeUtf8(tenant == null ? attributes.getOrDefault("tenant", "") : tenant);
    }

    /**
     * Decodes a UTF-8 value that the HTTP parser has decoded as ISO 8859-1. A value that is not
     * valid UTF-8 is returned unchanged.
     */
    private static String decodeUtf8(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        String decoded = new String(bytes, StandardCharsets.UTF_8);
        return decoded.indexOf(REPLACEMENT_CHARACTER) < 0 ? decoded : value;
    }
}
