package wheelroute.kit.real;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.Link;
import wheelroute.net.Loop;

/**
 * One call at an operators' door: a line goes, an answer comes, or null when none comes in time.
 */
final class DoorCall implements Loop.Peer {
    private final Loop loop;
    private final String word;
    private final Consumer<String> hearer;
    private final StringBuilder answer = new StringBuilder();
    private final Loop.Timer limit;
    private Line line;
    private boolean over;

    private DoorCall(Loop loop, String word, double limit, Consumer<String> hearer) {
        this.loop = loop;
        this.word = word;
        this.hearer = hearer;
        this.limit = loop.later(limit, () -> end(null));
    }

    static void ask(
            Loop loop, InetSocketAddress door, String word, double limit, Consumer<String> hearer) {
        loop.connect(door, new DoorCall(loop, word, limit, hearer));
    }

    @Override
    public Connection opened(EndPoint endPoint) {
        line = new Line(endPoint);
        return line;
    }

    @Override
    public void failed(Throwable cause) {
        end(null);
    }

    private void end(String whole) {
        if (!over) {
            over = true;
            limit.cancel();
            if (line != null) {
                line.close();
            }
            hearer.accept(whole);
        }
    }

    private final class Line extends Link {
        Line(EndPoint endPoint) {
            super(endPoint, DoorCall.this.loop);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            getEndPoint()
                    .write(
                            Callback.from(() -> {}, cause -> loop.post(() -> end(null))),
                            ByteBuffer.wrap((word + "\n").getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        protected void received(ByteBuffer in) throws IOException {
            answer.append(StandardCharsets.ISO_8859_1.decode(in));
        }

        @Override
        protected void atEnd() {
            end(answer.isEmpty() ? null : answer.toString());
        }

        @Override
        protected void broke(Throwable cause) {
            end(null);
        }
    }
}
