package wheelroute.net.loop;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Splits a stream of bytes, which arrives in parts of any size, into lines. Not thread-safe. */
public final class LineBuffer {
    private final int maxLineBytes;
    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Creates an empty buffer.
     *
     * @param maxLineBytes the maximum length of a line, without its line feed
     */
    public LineBuffer(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Returns the next line without its line feed, or null if more bytes are needed. Bytes after
     * the line stay in the given buffer.
     *
     * @throws LineTooLongException if the line exceeds the maximum length
     */
    public byte[] next(ByteBuffer in) throws LineTooLongException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return takeBuffered();
            }
            line.write(b);
            if (line.size() > maxLineBytes) {
                throw new LineTooLongException(maxLineBytes);
            }
        }
        return null;
    }

    /** Returns and removes the beginning of an incomplete line; empty if there is none. */
    public byte[] takeBuffered() {
        byte[] bytes = line.toByteArray();
        clear();
        return bytes;
    }

    /** Removes the beginning of an incomplete line. */
    public void clear() {
        // reset() would keep an array as long as the connection's longest line.
        line = new ByteArrayOutputStream();
    }

    /** Whether the buffer holds no beginning of an incomplete line. */
    public boolean isEmpty() {
        return line.size() == 0;
    }

    /** Returns the number of bytes of an incomplete line that the buffer holds. */
    public int bufferedBytes() {
        return line.size();
    }
}
