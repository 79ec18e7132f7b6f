package wheelroute.net.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.limits.Places;
import wheelroute.net.Link;
import wheelroute.net.Loop;

/** One client's connection: one submission at a time, the next once it is answered. */
final class ClientConnection extends Link implements Submitters.Answers {
    /**
     * How long a closing connection swallows what still comes: a reset would take the answer with
     * it.
     */
    private static final double LINGER = 1;

    /**
     * For a first message from the connection's opening on, and for every later one from its first
     * byte.
     */
    private static final double PATIENCE = 2.4;

    /**
     * What lies unread when that is over, after a pause of the whole process, is read within this.
     */
    private static final double LAST_LOOK = 0.2;

    private final Clients clients;
    private final ClientDecoder decoder;
    private Submitters.Taken taken;
    private boolean waiting;
    private boolean unanswered;
    private boolean lastMessage;
    private boolean begun;
    private boolean hasSpoken;
    private boolean hasSubmitted;
    private Loop.Timer patience;
    private boolean lingering;
    private boolean turnedAway;

    /** What came before its turn. */
    private final Ahead ahead;

    ClientConnection(EndPoint endPoint, Loop loop, Clients clients) {
        super(endPoint, loop);
        this.clients = clients;
        decoder = new ClientDecoder(clients.room());
        ahead = new Ahead(clients.roomAhead());
    }

    @Override
    public void onOpen() {
        turnedAway = !clients.opened(this);
        super.onOpen();
        waitForMessage();
    }

    /**
     * Guards against heads and bodies without end, and against those who connect and say nothing.
     */
    private void waitForMessage() {
        patience =
                loop.later(PATIENCE, () -> patience = loop.later(LAST_LOOK, this::outOfPatience));
    }

    private void outOfPatience() {
        if (begun) {
            refuse(
                    new BadMessage(
                            HttpStatus.REQUEST_TIMEOUT_408, "the message has not come in time"));
        } else {
            close();
        }
    }

    @Override
    protected boolean wantsMore() {
        // Who waits for no answer is read in any case: others' bytes ahead must not keep its
        // message out.
        return !waiting || !ahead.isFull();
    }

    @Override
    protected void received(ByteBuffer in) {
        if (!lingering) {
            read(in);
        }
    }

    /** A client that ends its sending has gone away, as one has whose connection broke. */
    @Override
    protected void atEnd() {
        ended();
    }

    @Override
    protected void broke(Throwable cause) {
        ended();
    }

    private void read(ByteBuffer in) {
        if (waiting) {
            ahead.add(in, loop.cameAt());
            return;
        }
        try {
            if (!begun && hasSpoken) {
                waitForMessage();
            }
            begun = true;
            ClientMessage message = decoder.decode(in);
            if (message == null) {
                clients.is(this, Places.Stage.BEGUN);
                return;
            }
            patience.cancel();
            begun = false;
            hasSpoken = true;
            waiting = true;
            lastMessage = !message.keepsOpen();
            double cameAt = in == ahead.kept() ? ahead.cameAt() : loop.cameAt();
            if (in.hasRemaining() && in != ahead.kept()) {
                ahead.add(in, cameAt);
            }
            handle(message, cameAt);
        } catch (BadMessage e) {
            refuse(e);
        }
    }

    /**
     * What cannot be read: where the next message begins is not known either, so this is the last
     * answer.
     */
    private void refuse(BadMessage e) {
        patience.cancel();
        clients.notTaken();
        clients.is(this, Places.Stage.HELD);
        lastMessage = true;
        waiting = true;
        answer(ClientAnswer.of(e.status(), e.getMessage()));
    }

    private void handle(ClientMessage message, double cameAt) {
        clients.is(this, Places.Stage.HELD);
        if (message.method().equals("GET")) {
            answer(
                    switch (message.path()) {
                        case "/healthz" -> clients.health();
                        case "/metrics" -> ClientAnswer.fulfilled(clients.metrics());
                        default -> ClientAnswer.of(HttpStatus.NOT_FOUND_404, "no such page");
                    });
            return;
        }
        if (turnedAway) {
            // Nothing is taken; the client may try another dispatcher at once.
            clients.turnedAway(message);
            lastMessage = true;
            answer(ClientAnswer.bounced(0));
        } else {
            submit(message, cameAt);
        }
    }

    private void submit(ClientMessage message, double cameAt) {
        unanswered = true;
        try {
            if (!message.method().equals("POST")) {
                throw new BadMessage(HttpStatus.NOT_FOUND_404, "submissions come by POST");
            }
            if (message.id() == null || message.id().isEmpty() || !(message.timeout() > 0)) {
                throw new BadMessage(
                        HttpStatus.BAD_REQUEST_400, "X-Request-ID or X-Timeout is missing");
            }
            if (sawEnd()) {
                clients.notTaken();
                ended();
                return;
            }
            Submitters.Taken now = clients.take(message, cameAt, this);
            hasSubmitted = true;
            if (unanswered) {
                // Else it was answered as it was taken, and there is nobody to tell that the client
                // left.
                taken = now;
            }
        } catch (BadMessage e) {
            clients.notTaken();
            answer(ClientAnswer.of(e.status(), e.getMessage()));
        }
    }

    /**
     * Guards against launches for nobody: what lay unread, as after a pause of the whole process,
     * may be from a client that gave up in the meantime, and then its end lies unread behind it.
     */
    private boolean sawEnd() {
        try {
            int got = 1;
            while (got > 0 && wantsMore()) {
                got = peek();
            }
            return got < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public boolean hasLeft() {
        boolean left = !getEndPoint().isOpen() || sawEnd();
        if (left) {
            loop.post(this::ended);
        }
        return left;
    }

    @Override
    public void answer(ClientAnswer answer) {
        taken = null;
        unanswered = false;
        decoder.release();
        if (!getEndPoint().isOpen() || !waiting) {
            return;
        }
        boolean last = lastMessage || clients.closesConnections();
        Callback written =
                Callback.from(
                        () -> loop.post(() -> answered(last)), cause -> loop.post(this::ended));
        getEndPoint().write(written, answer.encode(last));
    }

    private void answered(boolean last) {
        waiting = false;
        if (!getEndPoint().isOpen()) {
            return;
        }
        if (last) {
            linger();
            return;
        }
        clients.is(this, hasSubmitted ? Places.Stage.KNOWN : Places.Stage.VISITOR);
        if (!ahead.isEmpty()) {
            read(ahead.kept());
            if (ahead.isEmpty()) {
                ahead.release();
            }
        }
        if (wantsMore() && getEndPoint().isOpen() && !isFillInterested()) {
            fillInterested();
        }
    }

    private void linger() {
        lingering = true;
        clients.is(this, Places.Stage.LEAVING);
        ahead.release();
        getEndPoint().shutdownOutput();
        loop.later(LINGER, this::close);
        if (!isFillInterested() && getEndPoint().isOpen()) {
            fillInterested();
        }
    }

    /**
     * Between two messages, with none begun; one that has not spoken yet may have its first on the
     * way.
     */
    private boolean isIdle() {
        return hasSpoken && !waiting && !begun && !lingering;
    }

    /** Closes it if it is between two messages, and nothing of the next lies unread. */
    void closeIfIdle() {
        if (isIdle() && !hasUnread()) {
            close();
        }
    }

    /**
     * Before the process ends: takes what has come, and leaves nobody in doubt about what comes
     * next.
     */
    void lastLook() {
        if (waiting || lingering) {
            return;
        }
        if (sawEnd()) {
            close();
        } else if (!waiting) {
            makeRoom();
        }
    }

    /** Reads a little of what there is; under 0 at the client's end. */
    private int peek() throws IOException {
        ByteBuffer peeked = loop.lookBuffer();
        int got = getEndPoint().fill(peeked);
        if (got > 0) {
            read(peeked);
        }
        return got;
    }

    /** Reads what there is, if there is something. */
    boolean hasUnread() {
        try {
            return peek() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * For another one. A message that has begun is told to come back: it may be a true client's.
     */
    void makeRoom() {
        if (!begun) {
            close();
            return;
        }
        clients.notTaken();
        // Its place is free at once, whenever that answer is through.
        clients.closed(this);
        patience.cancel();
        begun = false;
        lingering = true;
        Callback written =
                Callback.from(() -> loop.post(this::close), cause -> loop.post(this::close));
        getEndPoint().write(written, ClientAnswer.bounced(0).encode(true));
    }

    private void ended() {
        Submitters.Taken left = taken;
        taken = null;
        waiting = false;
        close();
        if (left != null) {
            left.clientGone();
        }
    }

    /**
     * A client may wait for its answer for as long as its outer limit; who does not read it, may
     * not.
     */
    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        if (isIdle()) {
            closeIfIdle();
        } else if (taken == null) {
            close();
        }
        return false;
    }

    @Override
    public void close() {
        if (patience != null) {
            patience.cancel();
        }
        decoder.release();
        ahead.release();
        clients.closed(this);
        super.close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        decoder.release();
        ahead.release();
        clients.closed(this);
    }
}
