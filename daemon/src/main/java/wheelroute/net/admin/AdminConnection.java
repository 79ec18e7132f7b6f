package wheelroute.net.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.LineBuffer;
import wheelroute.net.loop.StreamConnection;

/** One command: a line comes, the response goes, the connection ends. */
final class AdminConnection extends StreamConnection {
    /** In bytes: longer than any command. */
    private static final int MAX_LINE = 64;

    /** Seconds for the command to come, and again for the caller to read the response. */
    private static final double TIMEOUT = 2;

    private final AdminServer server;
    private final LineBuffer lines = new LineBuffer(MAX_LINE);
    private EventLoop.Timer timeout;
    private boolean answered;

    AdminConnection(EndPoint endPoint, EventLoop loop, AdminServer server) {
        super(endPoint, loop);
        this.server = server;
    }

    @Override
    public void onOpen() {
        server.onOpened(this);
        timeout = loop.schedule(TIMEOUT, this::close);
        super.onOpen();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        if (answered) {
            return;
        }
        try {
            byte[] line = lines.next(in);
            if (line != null) {
                answerTo(line);
            }
        } catch (IOException e) {
            answer("fail a call is one line of at most " + MAX_LINE + " characters\n");
        }
    }

    private void answerTo(byte[] line) {
        answer(server.answer(new String(line, StandardCharsets.UTF_8).strip()));
    }

    /** The end of the caller's sending ends its line, too. */
    @Override
    protected void onEndOfStream() {
        if (answered || lines.isEmpty()) {
            close();
        } else {
            answerTo(lines.rest());
        }
    }

    @Override
    protected void onFailure(Throwable cause) {
        close();
    }

    private void answer(String text) {
        answered = true;
        timeout.cancel();
        timeout = loop.schedule(TIMEOUT, this::close);
        // Half closed: a reset, for what the caller still sends, would take the response back.
        Callback written =
                Callback.from(
                        () -> getEndPoint().shutdownOutput(), cause -> loop.post(this::close));
        getEndPoint().write(written, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        if (timeout != null) {
            timeout.cancel();
        }
        server.closed(this);
        super.close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        server.closed(this);
    }
}
