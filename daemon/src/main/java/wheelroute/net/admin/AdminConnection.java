package wheelroute.net.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.LineBuffer;
import wheelroute.net.loop.LineTooLongException;
import wheelroute.net.loop.StreamConnection;

/**
 * A connection for one command: reads a line, sends the response and closes the connection.
 * Confined to the event loop's thread.
 */
final class AdminConnection extends StreamConnection {
    /** Maximum length of a line, which exceeds the length of any command. */
    private static final int MAX_LINE_BYTES = 64;

    /**
     * Timeout for receiving the command, and again for the caller to read the response and close
     * the connection.
     */
    private static final double TIMEOUT_SECONDS = 2;

    private final AdminServer server;
    private final LineBuffer lines = new LineBuffer(MAX_LINE_BYTES);
    private EventLoop.Timer timeout;
    private boolean answered;

    AdminConnection(EndPoint endPoint, EventLoop loop, AdminServer server) {
        super(endPoint, loop);
        this.server = server;
    }

    @Override
    public void onOpen() {
        server.onOpened(this);
        timeout = loop.schedule(TIMEOUT_SECONDS, this::close);
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
                answerCommand(line);
            }
        } catch (LineTooLongException e) {
            answer("fail a call is one line of at most " + MAX_LINE_BYTES + " characters\n");
        }
    }

    private void answerCommand(byte[] line) {
        answer(server.answer(new String(line, StandardCharsets.UTF_8).strip()));
    }

    /** Answers the line received so far, which the end of the stream completes like a line feed. */
    @Override
    protected void onEndOfStream() {
        if (answered || lines.isEmpty()) {
            close();
        } else {
            answerCommand(lines.takeBuffered());
        }
    }

    @Override
    protected void onFailure(Throwable cause) {
        close();
    }

    private void answer(String text) {
        answered = true;
        timeout.cancel();
        timeout = loop.schedule(TIMEOUT_SECONDS, this::close);
        // Only the output is closed. Closing both directions while the caller is still sending
        // would reset the connection, and the response could be lost.
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
        server.onClosed(this);
        super.close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        server.onClosed(this);
    }
}
