package wheelroute.net.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.limits.ConnectionLimit;
import wheelroute.net.EventLoop;
import wheelroute.net.StreamConnection;

/** One client's connection: one submission at a time, the next once it is answered. */
final class ClientConnection extends StreamConnection implements RequestAcceptor.ResponseSender {
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

    private final ClientServer clients;
    private final ClientRequestDecoder decoder;
    private RequestAcceptor.AcceptedRequest taken;
    private boolean waiting;
    private boolean unanswered;
    private boolean lastMessage;
    private boolean begun;
    private boolean hasSpoken;
    private boolean hasSubmitted;
    private EventLoop.Timer patience;
    private boolean lingering;
    private boolean turnedAway;

    /** What came before its turn. */
    private final PipelinedInput ahead;

    ClientConnection(EndPoint endPoint, EventLoop loop, ClientServer clients) {
        super(endPoint, loop);
        this.clients = clients;
        decoder = new ClientRequestDecoder(clients.room());
        ahead = new PipelinedInput(clients.roomAhead());
    }

    @Override
    public void onOpen() {
        turnedAway = !clients.onOpened(this);
        super.onOpen();
        waitForMessage();
    }

    /**
     * Guards against heads and bodies without end, and against those who connect and say nothing.
     */
    private void waitForMessage() {
        patience =
                loop.schedule(
                        PATIENCE, () -> patience = loop.schedule(LAST_LOOK, this::outOfPatience));
    }

    private void outOfPatience() {
        if (begun) {
            refuse(
                    new BadRequestException(
                            HttpStatus.REQUEST_TIMEOUT_408, "the message has not come in time"));
        } else {
            close();
        }
    }

    @Override
    protected boolean canRead() {
        // Who waits for no answer is read in any case: others' bytes ahead must not keep its
        // message out.
        return !waiting || !ahead.isFull();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        if (!lingering) {
            read(in);
        }
    }

    /** A client that ends its sending has gone away, as one has whose connection broke. */
    @Override
    protected void onEndOfStream() {
        ended();
    }

    @Override
    protected void onFailure(Throwable cause) {
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
            ClientRequest message = decoder.decode(in);
            if (message == null) {
                clients.is(this, ConnectionLimit.Stage.READING);
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
        } catch (BadRequestException e) {
            refuse(e);
        }
    }

    /**
     * What cannot be read: where the next message begins is not known either, so this is the last
     * answer.
     */
    private void refuse(BadRequestException e) {
        patience.cancel();
        clients.notTaken();
        clients.is(this, ConnectionLimit.Stage.IN_FLIGHT);
        lastMessage = true;
        waiting = true;
        send(ClientResponse.of(e.status(), e.getMessage()));
    }

    private void handle(ClientRequest message, double cameAt) {
        clients.is(this, ConnectionLimit.Stage.IN_FLIGHT);
        if (message.method().equals("GET")) {
            send(
                    switch (message.path()) {
                        case "/healthz" -> clients.health();
                        case "/metrics" -> ClientResponse.fulfilled(clients.metrics());
                        default -> ClientResponse.of(HttpStatus.NOT_FOUND_404, "no such page");
                    });
            return;
        }
        if (turnedAway) {
            // Nothing is taken; the client may try another dispatcher at once.
            clients.turnedAway(message);
            lastMessage = true;
            send(ClientResponse.bounced(0));
        } else {
            submit(message, cameAt);
        }
    }

    private void submit(ClientRequest message, double cameAt) {
        unanswered = true;
        try {
            if (!message.method().equals("POST")) {
                throw new BadRequestException(HttpStatus.NOT_FOUND_404, "submissions come by POST");
            }
            if (message.id() == null || message.id().isEmpty() || !(message.timeout() > 0)) {
                throw new BadRequestException(
                        HttpStatus.BAD_REQUEST_400, "X-Request-ID or X-Timeout is missing");
            }
            if (sawEnd()) {
                clients.notTaken();
                ended();
                return;
            }
            RequestAcceptor.AcceptedRequest now = clients.take(message, cameAt, this);
            hasSubmitted = true;
            if (unanswered) {
                // Else it was answered as it was taken, and there is nobody to tell that the client
                // left.
                taken = now;
            }
        } catch (BadRequestException e) {
            clients.notTaken();
            send(ClientResponse.of(e.status(), e.getMessage()));
        }
    }

    /**
     * Guards against launches for nobody: what lay unread, as after a pause of the whole process,
     * may be from a client that gave up in the meantime, and then its end lies unread behind it.
     */
    private boolean sawEnd() {
        try {
            int got = 1;
            while (got > 0 && canRead()) {
                got = peek();
            }
            return got < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public boolean hasClientLeft() {
        boolean left = !getEndPoint().isOpen() || sawEnd();
        if (left) {
            loop.post(this::ended);
        }
        return left;
    }

    @Override
    public void send(ClientResponse answer) {
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
        clients.is(
                this,
                hasSubmitted
                        ? ConnectionLimit.Stage.IDLE_CLIENT
                        : ConnectionLimit.Stage.IDLE_VISITOR);
        if (!ahead.isEmpty()) {
            read(ahead.kept());
            if (ahead.isEmpty()) {
                ahead.release();
            }
        }
        if (canRead() && getEndPoint().isOpen() && !isFillInterested()) {
            fillInterested();
        }
    }

    private void linger() {
        lingering = true;
        clients.is(this, ConnectionLimit.Stage.CLOSING);
        ahead.release();
        getEndPoint().shutdownOutput();
        loop.schedule(LINGER, this::close);
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
        getEndPoint().write(written, ClientResponse.bounced(0).encode(true));
    }

    private void ended() {
        RequestAcceptor.AcceptedRequest left = taken;
        taken = null;
        waiting = false;
        close();
        if (left != null) {
            left.onClientGone();
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
