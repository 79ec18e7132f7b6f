package wheelroute.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines and their space-separated fields from a stream. Each method that reads a field reads
 * the next one of the current line. A field of '-' counts as absent. The names of fields are those
 * of the protocol, and are only used in error messages.
 *
 * <p>Lines are parsed in the buffer without being copied, because a simulation has many of them.
 * Not thread-safe.
 */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    /** Maximum length of the part of a line that an error message quotes. */
    private static final int MAX_QUOTED_BYTES = 80;

    /** Maximum number of digits of a whole number; every such number fits into a long. */
    private static final int MAX_DIGITS = 18;

    private static final int DECIMAL_RADIX = 10;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int filled;
    private int lineStart;
    private int lineEnd = -1;

    /** Start of the next field; at or beyond the end of the line if there is none. */
    private int position;

    private long lineNumber;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; returns false at the end of the input. */
    boolean next() throws IOException, WireException {
        lineStart = lineEnd + 1;
        int scanned = 0;
        while (true) {
            for (int i = lineStart + scanned; i < filled; i++) {
                if (buffer[i] == '\n') {
                    lineEnd = i;
                    position = lineStart;
                    lineNumber++;
                    return true;
                }
            }
            scanned = filled - lineStart;
            if (!fillBuffer()) {
                return false;
            }
        }
    }

    /** Reads more bytes of the line at lineStart; returns false at the end of the input. */
    private boolean fillBuffer() throws IOException, WireException {
        if (lineStart > 0) {
            System.arraycopy(buffer, lineStart, buffer, 0, filled - lineStart);
            filled -= lineStart;
            lineStart = 0;
        }
        if (filled == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        int count = in.read(buffer, filled, buffer.length - filled);
        if (count >= 0) {
            filled += count;
            return true;
        }
        if (filled > lineStart) {
            throw new WireException(
                    "line " + (lineNumber + 1) + ": the input ends before the line feed");
        }
        return false;
    }

    /** Returns whether the current line is empty. */
    boolean isBlank() {
        return lineStart == lineEnd;
    }

    private int fieldEnd(String name) throws WireException {
        if (position > lineEnd || position == lineEnd) {
            throw error("'" + name + "' is missing");
        }
        int end = position;
        while (end < lineEnd && buffer[end] != ' ') {
            end++;
        }
        if (end == position) {
            throw error("'" + name + "' is empty");
        }
        return end;
    }

    /** Returns whether the current line has another field. */
    boolean hasMore() {
        return position < lineEnd;
    }

    /** Reads a text; a field of '-' is returned as it is. */
    String readText(String name) throws WireException {
        int end = fieldEnd(name);
        String text = new String(buffer, position, end - position, StandardCharsets.UTF_8);
        position = end + 1;
        return text;
    }

    /** Reads a text; returns null if the field is absent. */
    String readOptionalText(String name) throws WireException {
        String text = readText(name);
        return text.equals("-") ? null : text;
    }

    /** Skips a field without checking its content; the field must not be missing. */
    void skip(String name) throws WireException {
        position = fieldEnd(name) + 1;
    }

    /** Reads the rest of the line, including spaces; empty if there is none. */
    String readRest() {
        String text =
                position < lineEnd
                        ? new String(buffer, position, lineEnd - position, StandardCharsets.UTF_8)
                        : "";
        position = lineEnd + 1;
        return text;
    }

    /** Reads a whole number, which may be negative, of at most {@link #MAX_DIGITS} digits. */
    long readLong(String name) throws WireException {
        int end = fieldEnd(name);
        int i = position;
        boolean negative = buffer[i] == '-';
        if (negative) {
            i++;
        }
        if (i == end || end - i > MAX_DIGITS) {
            throw error("'" + name + "' is not a whole number");
        }
        long value = 0;
        for (; i < end; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9) {
                throw error("'" + name + "' is not a whole number");
            }
            value = DECIMAL_RADIX * value + digit;
        }
        position = end + 1;
        return negative ? -value : value;
    }

    /** Reads a whole number; returns the default if the field is absent. */
    long readLong(String name, long defaultValue) throws WireException {
        if (skipIfAbsent(name)) {
            return defaultValue;
        }
        return readLong(name);
    }

    /** Reads a finite number; returns the default if the field is absent. */
    double readDouble(String name, double defaultValue) throws WireException {
        if (skipIfAbsent(name)) {
            return defaultValue;
        }
        int end = fieldEnd(name);
        for (int i = position; i < end; i++) {
            if (buffer[i] < '0' || buffer[i] > '9') {
                return readFraction(name);
            }
        }
        return readLong(name);
    }

    private double readFraction(String name) throws WireException {
        String text = readText(name);
        try {
            double value = Double.parseDouble(text);
            if (Double.isNaN(value) || Double.isInfinite(value)) {
                throw error("'" + name + "' is not a finite number");
            }
            return value;
        } catch (NumberFormatException e) {
            throw error("'" + name + "' is not a number");
        }
    }

    /** Skips the next field if its text is '-'; returns whether the field was skipped. */
    private boolean skipIfAbsent(String name) throws WireException {
        int end = fieldEnd(name);
        if (end - position == 1 && buffer[position] == '-') {
            position = end + 1;
            return true;
        }
        return false;
    }

    /** Checks that all fields of the line have been read. */
    void expectEnd() throws WireException {
        if (position < lineEnd || (position == lineEnd && lineEnd > lineStart)) {
            throw error("unexpected text follows the last field");
        }
    }

    /** Creates an exception for a fault in the current line, whose beginning the message quotes. */
    WireException error(String fault) {
        int quoted = Math.min(lineEnd - lineStart, MAX_QUOTED_BYTES);
        String line = new String(buffer, lineStart, Math.max(0, quoted), StandardCharsets.UTF_8);
        return new WireException("line " + lineNumber + ": " + fault + ": " + line);
    }
}
