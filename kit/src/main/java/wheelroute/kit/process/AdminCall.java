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

/** One call at an admin server: a line goes, an answer comes, or null when none comes in time. */
final class AdminCall implements EventLoop.ChannelHandler {
    private final EventLoop loop;
    private final String command;
    private final Consumer<String> listener;
    private final StringBuilder answer = new StringBuilder();
    private final EventLoop.Timer limit;
    private AdminConnection line;
    private boolean isDone;

    private AdminCall(EventLoop loop, String word, double limit, Consumer<String> listener) {
        this.loop = loop;
        this.command = word;
        this.listener = listener;
        this.limit = loop.schedule(limit, () -> end(null));
    }

    static void call(
            EventLoop loop,
            InetSocketAddress door,
            String word,
            double limit,
            Consumer<String> listener) {
        loop.connect(door, new AdminCall(loop, word, limit, listener));
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        line = new AdminConnection(endPoint);
        return line;
    }

    @Override
    public void onFailed(Throwable cause) {
        end(null);
    }

    private void end(String whole) {
        if (!isDone) {
            isDone = true;
            limit.cancel();
            if (line != null) {
                line.close();
            }
            listener.accept(whole);
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
                            Callback.from(() -> {}, cause -> loop.post(() -> end(null))),
                            ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        protected void onBytes(ByteBuffer in) throws IOException {
            answer.append(StandardCharsets.ISO_8859_1.decode(in));
        }

        @Override
        protected void onEndOfStream() {
            end(answer.isEmpty() ? null : answer.toString());
        }

        @Override
        protected void onFailure(Throwable cause) {
            end(null);
        }
    }
}
