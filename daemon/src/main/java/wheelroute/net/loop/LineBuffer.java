package wheelroute.net.loop;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Splits a stream of bytes into lines, in whatever pieces it comes. */
public final class LineBuffer {
    private final int maxLength;
    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Begins with an empty line.
     *
     * @param maxLength the longest line that is accepted, in bytes
     */
    public LineBuffer(int maxLength) {
        this.maxLength = maxLength;
    }

    /**
     * Returns the next line without its line feed, or null when more bytes are needed. What follows
     * the line stays in the buffer.
     *
     * @throws IOException if the line is too long
     */
    public byte[] next(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return rest();
            }
            line.write(b);
            if (line.size() > maxLength) {
                throw new IOException("a line is over " + maxLength);
            }
        }
        return null;
    }

    /** Takes what has come of a line whose end has not. */
    public byte[] rest() {
        byte[] bytes = line.toByteArray();
        // A new one: a connection must not keep the memory of its longest line.
        line = new ByteArrayOutputStream();
        return bytes;
    }

    /** Drops what has come of the current line. */
    public void clear() {
        line.reset();
    }

    /** Whether nothing has come of the current line. */
    public boolean isEmpty() {
        return line.size() == 0;
    }
}
