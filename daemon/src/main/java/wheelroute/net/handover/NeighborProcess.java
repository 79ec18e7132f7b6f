package wheelroute.net.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.EventLoop;
import wheelroute.net.LineBuffer;
import wheelroute.net.StreamConnection;

/** The connection to one other process of this dispatcher: lines both ways. */
final class NeighborProcess extends StreamConnection {
    /** As long as the longest list. */
    private static final int MOST_LINE = 1 << 20;

    /** Unsent beyond this, the other is stuck: this process must not fill its memory for it. */
    private static final int MOST_UNSENT = 2 * MOST_LINE;

    /** Who hears it. */
    interface Listener {
        void opened(NeighborProcess neighbour);

        void said(NeighborProcess neighbour, String word, String about) throws IOException;

        void left(NeighborProcess neighbour);
    }

    final ProcessChain.Role side;

    /** The clients' ids that are open there. */
    final Set<String> openIds = new HashSet<>();

    boolean greeted;
    private final Listener hearer;
    private final LineBuffer lines = new LineBuffer(MOST_LINE);
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private long unsentBytes;
    private boolean sending;
    private boolean left;

    /** Who has been told nothing takes it for none. */
    private int toldBehind;

    NeighborProcess(EndPoint endPoint, EventLoop loop, ProcessChain.Role side, Listener hearer) {
        super(endPoint, loop);
        this.side = side;
        this.hearer = hearer;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        hearer.opened(this);
    }

    void say(String word, String about) {
        String text = about.isEmpty() ? word + "\n" : word + " " + about + "\n";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        unsent.add(ByteBuffer.wrap(bytes));
        unsentBytes += bytes.length;
        if (unsentBytes > MOST_UNSENT) {
            close();
        } else {
            sendNext();
        }
    }

    /** Only news: an answer to each word would be answered for ever. */
    void tellBehind(int behind) {
        if (behind != toldBehind) {
            toldBehind = behind;
            say("beyond", Integer.toString(behind));
        }
    }

    private void sendNext() {
        if (sending || unsent.isEmpty() || left) {
            return;
        }
        sending = true;
        ByteBuffer next = unsent.poll();
        int length = next.remaining();
        Callback written =
                Callback.from(
                        () ->
                                loop.post(
                                        () -> {
                                            sending = false;
                                            unsentBytes -= length;
                                            sendNext();
                                        }),
                        cause -> loop.post(this::close));
        getEndPoint().write(written, next);
    }

    @Override
    protected void onBytes(ByteBuffer in) throws IOException {
        for (byte[] line = lines.next(in); line != null && !left; line = lines.next(in)) {
            String text = new String(line, StandardCharsets.UTF_8);
            int space = text.indexOf(' ');
            hearer.said(
                    this,
                    space < 0 ? text : text.substring(0, space),
                    space < 0 ? "" : text.substring(space + 1));
        }
    }

    @Override
    protected void onEndOfStream() {
        close();
    }

    @Override
    protected void onFailure(Throwable cause) {
        close();
    }

    @Override
    public void close() {
        super.close();
        leave();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        leave();
    }

    private void leave() {
        if (!left) {
            left = true;
            unsent.clear();
            hearer.left(this);
        }
    }
}
