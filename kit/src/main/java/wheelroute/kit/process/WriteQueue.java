package wheelroute.kit.process;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** What goes out on one connection, in order, one write at a time. */
public final class WriteQueue {
    private final EndPoint endPoint;
    private final Runnable broken;
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private boolean writing;
    private boolean closesAfter;

    public WriteQueue(EndPoint endPoint, Runnable broken) {
        this.endPoint = endPoint;
        this.broken = broken;
    }

    public void send(String text) {
        send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    public void send(ByteBuffer... buffers) {
        for (ByteBuffer buffer : buffers) {
            waiting.addLast(buffer);
        }
        flush();
    }

    /** Once all of it is out. */
    public void close() {
        closesAfter = true;
        flush();
    }

    private void flush() {
        if (writing || !endPoint.isOpen()) {
            return;
        }
        if (waiting.isEmpty()) {
            if (closesAfter) {
                endPoint.close();
            }
            return;
        }
        writing = true;
        ByteBuffer[] all = waiting.toArray(new ByteBuffer[0]);
        waiting.clear();
        endPoint.write(
                Callback.from(
                        () -> {
                            writing = false;
                            flush();
                        },
                        cause -> {
                            writing = false;
                            broken.run();
                        }),
                all);
    }
}
