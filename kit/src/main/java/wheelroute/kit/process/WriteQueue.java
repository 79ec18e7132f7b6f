package wheelroute.kit.process;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/**
 * Queue of the writes to one connection, which are made in order and one at a time. Used on the
 * event loop's thread.
 */
public final class WriteQueue {
    private final EndPoint endPoint;
    private final Runnable failureHandler;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private boolean isWriting;
    private boolean closesWhenEmpty;

    /**
     * Creates the queue of one connection.
     *
     * @param failureHandler called if a write fails
     */
    public WriteQueue(EndPoint endPoint, Runnable failureHandler) {
        this.endPoint = endPoint;
        this.failureHandler = failureHandler;
    }

    /** Queues a text, encoded in UTF-8, after everything that was sent before. */
    public void send(String text) {
        send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Queues buffers after everything that was sent before. The buffers must not be changed until
     * they are written.
     */
    public void send(ByteBuffer... buffers) {
        for (ByteBuffer buffer : buffers) {
            queue.addLast(buffer);
        }
        flush();
    }

    /** Closes the connection once everything that was sent before is written. */
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
