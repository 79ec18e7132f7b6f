package wheelroute.kit.process;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** What goes out on one connection, in order, one write at a time. */
public final class WriteQueue {
    private final EndPoint endPoint;
    private final Runnable failureHandler;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private boolean writing;
    private boolean closesWhenEmpty;

    /**
     * Makes the queue of one connection.
     *
     * @param broken run once if a write fails
     */
    public WriteQueue(EndPoint endPoint, Runnable broken) {
        this.endPoint = endPoint;
        this.failureHandler = broken;
    }

    /** Sends a text after all that was sent before. */
    public void send(String text) {
        send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends bytes after all that was sent before. */
    public void send(ByteBuffer... buffers) {
        for (ByteBuffer buffer : buffers) {
            queue.addLast(buffer);
        }
        flush();
    }

    /** Once all of it is out. */
    public void close() {
        closesWhenEmpty = true;
        flush();
    }

    private void flush() {
        if (writing || !endPoint.isOpen()) {
            return;
        }
        if (queue.isEmpty()) {
            if (closesWhenEmpty) {
                endPoint.close();
            }
            return;
        }
        writing = true;
        ByteBuffer[] all = queue.toArray(new ByteBuffer[0]);
        queue.clear();
        endPoint.write(
                Callback.from(
                        () -> {
                            writing = false;
                            flush();
                        },
                        cause -> {
                            writing = false;
                            failureHandler.run();
                        }),
                all);
    }
}
