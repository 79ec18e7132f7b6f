package wheelroute.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Bytes made lines of, in whatever pieces they come, and no line longer than a bound. */
public final class LineBuffer {
    private final int most;
    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    public LineBuffer(int most) {
        this.most = most;
    }

    /** The next line without its end, or null when more bytes are wanted; what follows stays. */
    public byte[] next(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return rest();
            }
            line.write(b);
            if (line.size() > most) {
                throw new IOException("a line is over " + most);
            }
        }
        return null;
    }

    /** What has come of a line whose end has not. */
    public byte[] rest() {
        byte[] bytes = line.toByteArray();
        // Anew, for a connection must not hold on to the longest line that it has seen.
        line = new ByteArrayOutputStream();
        return bytes;
    }

    public void clear() {
        line.reset();
    }

    public boolean isEmpty() {
        return line.size() == 0;
    }
}
