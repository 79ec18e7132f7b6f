package wheelroute.kit.process;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** Writes to one connection, in order, one write at a time. Used on the event loop's thread. */
public final class WriteQueue {
    private final EndPoint endPoint;
    private final Runnable failureHandler;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private boolean isWriting;
    private boolean closesWhenEmpty;

    /**
     * Creates the queue of one connection.
     *
     * @param failureHandler runs if a write fails
     */
    public WriteQueue(EndPoint endPoint, Runnable failureHandler) {
        this.endPoint = endPoint;
        this.failureHandler = failureHandler;
    }

    /** Sends a text after everything that was sent before. */
    public void send(String text) {
        send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends bytes after everything that was sent before. */
    public void send(ByteBuffer... buffers) {
        for (ByteBuffer buffer : buffers) {
            queue.addLast(buffer);
        }
        flush();
    }

    /** Closes the connection once everything is written. */
    public void close() {
        closesWhenEmpty = true;
        flush();
    }

    private void flush() {
        if (isWriting || !endPoint.isOpen()) {
            return;
        }
        if (queue.isEmpty()) {
            if (closesWhenEmpty) {
                endPoint.close();
            }
            return;
        }
        isWriting = true;
        ByteBuffer[] all = queue.toArray(new ByteBuffer[0]);
        queue.clear();
        endPoint.write(
                Callback.from(
                        () -> {
                            isWriting = false;
                            flush();
                        },
                        cause -> {
                            isWriting = false;
                            failureHandler.run();
                        }),
                all);
    }
}
