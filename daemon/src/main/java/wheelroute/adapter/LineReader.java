package wheelroute.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Lines of the wire and the fields in them, read in place: a day has little CPU to spare for
 * garbage.
 */
final class LineReader {
    private static final int FIRST_BUFFER = 1 << 16;
    private static final int LONGEST_SHOWN = 80;
    private static final int MOST_DIGITS = 18;

    private final InputStream in;
    private byte[] buffer = new byte[FIRST_BUFFER];
    private int filled;
    private int lineStart;
    private int lineEnd = -1;
    private int at;
    private long lineNumber;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of the input. */
    boolean next() throws IOException, WireException {
        lineStart = lineEnd + 1;
        int scan = lineStart;
        while (true) {
            for (; scan < filled; scan++) {
                if (buffer[scan] == '\n') {
                    lineEnd = scan;
                    at = lineStart;
                    lineNumber++;
                    return true;
                }
            }
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, filled - lineStart);
                scan -= lineStart;
                filled -= lineStart;
                lineStart = 0;
            }
            if (filled == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int got = in.read(buffer, filled, buffer.length - filled);
            if (got < 0) {
                if (filled > lineStart) {
                    throw new WireException(
                            "line " + (lineNumber + 1) + ": the input ends within a line");
                }
                return false;
            }
            filled += got;
        }
    }

    boolean isBlank() {
        return lineStart == lineEnd;
    }

    private int fieldEnd(String name) throws WireException {
        if (at > lineEnd || at == lineEnd) {
            throw error("'" + name + "' is missing");
        }
        int end = at;
        while (end < lineEnd && buffer[end] != ' ') {
            end++;
        }
        if (end == at) {
            throw error("'" + name + "' is empty");
        }
        return end;
    }

    boolean hasMore() {
        return at < lineEnd;
    }

    String text(String name) throws WireException {
        int end = fieldEnd(name);
        String s = new String(buffer, at, end - at, StandardCharsets.UTF_8);
        at = end + 1;
        return s;
    }

    /** Null where the wire has '-'. */
    String textOrAbsent(String name) throws WireException {
        String s = text(name);
        return s.equals("-") ? null : s;
    }

    void skip(String name) throws WireException {
        at = fieldEnd(name) + 1;
    }

    /** The rest of the line, up to its end. */
    String rest() {
        String s = at < lineEnd ? new String(buffer, at, lineEnd - at, StandardCharsets.UTF_8) : "";
        at = lineEnd + 1;
        return s;
    }

    long whole(String name) throws WireException {
        int end = fieldEnd(name);
        int i = at;
        boolean negative = buffer[i] == '-';
        if (negative) {
            i++;
        }
        if (i == end || end - i > MOST_DIGITS) {
            throw error("'" + name + "' is not a whole number");
        }
        long v = 0;
        for (; i < end; i++) {
            int d = buffer[i] - '0';
            if (d < 0 || d > 9) {
                throw error("'" + name + "' is not a whole number");
            }
            v = 10 * v + d;
        }
        at = end + 1;
        return negative ? -v : v;
    }

    long wholeOr(String name, long absent) throws WireException {
        if (isAbsent(name)) {
            return absent;
        }
        return whole(name);
    }

    double numberOr(String name, double absent) throws WireException {
        if (isAbsent(name)) {
            return absent;
        }
        int end = fieldEnd(name);
        for (int i = at; i < end; i++) {
            if (buffer[i] < '0' || buffer[i] > '9') {
                return fraction(name);
            }
        }
        return whole(name);
    }

    private double fraction(String name) throws WireException {
        String s = text(name);
        try {
            double v = Double.parseDouble(s);
            if (Double.isNaN(v) || Double.isInfinite(v)) {
                throw error("'" + name + "' is not a number");
            }
            return v;
        } catch (NumberFormatException e) {
            throw error("'" + name + "' is not a number");
        }
    }

    private boolean isAbsent(String name) throws WireException {
        int end = fieldEnd(name);
        if (end - at == 1 && buffer[at] == '-') {
            at = end + 1;
            return true;
        }
        return false;
    }

    void expectEnd() throws WireException {
        if (at < lineEnd || (at == lineEnd && lineEnd > lineStart)) {
            throw error("something follows the last field");
        }
    }

    WireException error(String what) {
        int shown = Math.min(lineEnd - lineStart, LONGEST_SHOWN);
        String line = new String(buffer, lineStart, Math.max(0, shown), StandardCharsets.UTF_8);
        return new WireException("line " + lineNumber + ": " + what + ": " + line);
    }
}
