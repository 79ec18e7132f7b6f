package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * One call of an admin server, which sends a command and reads the answer until the server closes
 * the connection.
 */
final class AdminCall implements EventLoop.ChannelHandler {
    private final EventLoop loop;
    private final String command;
    private final Consumer<String> listener;
    private final StringBuilder answer = new StringBuilder();
    private final EventLoop.Timer timeout;
    private AdminConnection connection;
    private boolean isDone;

    private AdminCall(
            EventLoop loop, String command, double timeoutSeconds, Consumer<String> listener) {
        this.loop = loop;
        this.command = command;
        this.listener = listener;
        timeout = loop.schedule(timeoutSeconds, () -> finish(null));
    }

    /**
     * Starts a call. Must be called on the event loop's thread.
     *
     * @param listener receives the complete answer, or null if the call fails or times out; called
     *     once, on the event loop's thread
     */
    static void call(
            EventLoop loop,
            InetSocketAddress adminServer,
            String command,
            double timeoutSeconds,
            Consumer<String> listener) {
        loop.connect(adminServer, new AdminCall(loop, command, timeoutSeconds, listener));
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        connection = new AdminConnection(endPoint);
        return connection;
    }

    @Override
    public void onFailed(Throwable cause) {
        finish(null);
    }

    private void finish(String completeAnswer) {
        if (!isDone) {
            isDone = true;
            timeout.cancel();
            if (connection != null) {
                connection.close();
            }
            listener.accept(completeAnswer);
        }
    }

    private final class AdminConnection extends StreamConnection {
        AdminConnection(EndPoint endPoint) {
            super(endPoint, AdminCall.this.loop);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            getEndPoint()
                    .write(
                            Callback.from(() -> {}, cause -> loop.post(() -> finish(null))),
                            ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        protected void onBytes(ByteBuffer in) throws IOException {
            answer.append(StandardCharsets.ISO_8859_1.decode(in));
        }

        @Override
        protected void onEndOfStream() {
            finish(answer.isEmpty() ? null : answer.toString());
        }

        @Override
        protected void onFailure(Throwable cause) {
            finish(null);
        }
    }
}
