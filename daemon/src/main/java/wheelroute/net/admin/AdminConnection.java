package wheelroute.net.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.EventLoop;
import wheelroute.net.LineBuffer;
import wheelroute.net.StreamConnection;

/** One caller: a line comes, an answer goes, the connection ends. */
final class AdminConnection extends StreamConnection {
    /** Longer than any call that there is. */
    private static final int MOST_LINE = 64;

    /**
     * From the opening to the end of the line, and again for the caller to read the answer and
     * leave.
     */
    private static final double PATIENCE = 2;

    private final AdminServer door;
    private final LineBuffer lines = new LineBuffer(MOST_LINE);
    private EventLoop.Timer patience;
    private boolean answered;

    AdminConnection(EndPoint endPoint, EventLoop loop, AdminServer door) {
        super(endPoint, loop);
        this.door = door;
    }

    @Override
    public void onOpen() {
        door.onOpened(this);
        patience = loop.schedule(PATIENCE, this::close);
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
            answer("fail a call is one line of at most " + MOST_LINE + " characters\n");
        }
    }

    private void answerTo(byte[] line) {
        answer(door.answer(new String(line, StandardCharsets.UTF_8).strip()));
    }

    /** The end of a caller's sending ends its line too. */
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
        patience.cancel();
        patience = loop.schedule(PATIENCE, this::close);
        // Half closed, so that what a caller sends on cannot take the answer back with a reset.
        Callback written =
                Callback.from(
                        () -> getEndPoint().shutdownOutput(), cause -> loop.post(this::close));
        getEndPoint().write(written, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        if (patience != null) {
            patience.cancel();
        }
        door.closed(this);
        super.close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        door.closed(this);
    }
}
