package wheelroute.net.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * One client's connection: one request at a time, the next once it has its response. Only for the
 * event loop's thread.
 */
final class ClientConnection extends StreamConnection implements RequestAcceptor.ResponseSender {
    /** Seconds for which a closing connection discards input: a reset would take the response. */
    private static final double LINGER_TIME = 1;

    /**
     * Seconds for a message to be complete: the first one from the connection's opening on, every
     * later one from its first byte.
     */
    private static final double MESSAGE_TIMEOUT = 2.4;

    /** Seconds more to read what lies unread by then, after a standstill of the process. */
    private static final double UNREAD_GRACE = 0.2;

    private final ClientServer clients;
    private final ClientRequestDecoder decoder;
    private final PipelinedInput pipelined;

    /** The request that has no response yet; null for none. */
    private RequestAcceptor.AcceptedRequest accepted;

    /** A message has been read, and its response has not been written yet. */
    private boolean busy;

    /** A message has been read, and its response is not known yet. */
    private boolean unanswered;

    /** The response to the current message is the last one. */
    private boolean lastMessage;

    /** A message has begun, and is not complete. */
    private boolean messageBegun;

    private boolean hadMessage;
    private boolean hadRequest;

    /** Null until the connection is opened. */
    private EventLoop.Timer messageTimer;

    /** All input is discarded, and the connection is about to be closed. */
    private boolean lingering;

    /** No request is accepted on it. */
    private boolean overLimit;

    ClientConnection(EndPoint endPoint, EventLoop loop, ClientServer clients) {
        super(endPoint, loop);
        this.clients = clients;
        decoder = new ClientRequestDecoder(clients.bodyQuota());
        pipelined = new PipelinedInput(clients.pipelinedQuota());
    }

    @Override
    public void onOpen() {
        overLimit = !clients.onOpened(this);
        super.onOpen();
        waitForMessage();
    }

    /** Limits the time for a message, and for a client that connects and sends nothing. */
    private void waitForMessage() {
        messageTimer =
                loop.schedule(
                        MESSAGE_TIMEOUT,
                        () -> messageTimer = loop.schedule(UNREAD_GRACE, this::onMessageTimeout));
    }

    private void onMessageTimeout() {
        if (messageBegun) {
            refuse(
                    new BadRequestException(
                            HttpStatus.REQUEST_TIMEOUT_408, "the message has not come in time"));
        } else {
            close();
        }
    }

    @Override
    protected boolean canRead() {
        // Between two messages it is read in any case: other clients must not block it by what
        // they send ahead.
        return !busy || !pipelined.isFull();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        if (!lingering) {
            read(in);
        }
    }

    /** A client that ends its sending counts as gone. */
    @Override
    protected void onEndOfStream() {
        onClientGone();
    }

    @Override
    protected void onFailure(Throwable cause) {
        onClientGone();
    }

    private void read(ByteBuffer in) {
        if (busy) {
            pipelined.add(in, loop.earliestArrival());
            return;
        }
        try {
            if (!messageBegun && hadMessage) {
                waitForMessage();
            }
            messageBegun = true;
            ClientRequest message = decoder.decode(in);
            if (message == null) {
                clients.update(this, ConnectionLimit.Stage.READING);
                return;
            }
            messageTimer.cancel();
            messageBegun = false;
            hadMessage = true;
            busy = true;
            lastMessage = !message.keepsOpen();
            double arrivedAt =
                    in == pipelined.kept() ? pipelined.arrivedAt() : loop.earliestArrival();
            if (in.hasRemaining() && in != pipelined.kept()) {
                pipelined.add(in, arrivedAt);
            }
            handle(message, arrivedAt);
        } catch (BadRequestException e) {
            refuse(e);
        }
    }

    /** Responds to a malformed message, and closes: it is unknown where the next one begins. */
    private void refuse(BadRequestException e) {
        messageTimer.cancel();
        clients.onNotAccepted();
        clients.update(this, ConnectionLimit.Stage.IN_FLIGHT);
        lastMessage = true;
        busy = true;
        send(ClientResponse.of(e.status(), e.getMessage()));
    }

    private void handle(ClientRequest message, double arrivedAt) {
        clients.update(this, ConnectionLimit.Stage.IN_FLIGHT);
        if (message.method().equals("GET")) {
            send(
                    switch (message.path()) {
                        case "/healthz" -> clients.health();
                        case "/metrics" -> ClientResponse.succeeded(clients.metrics());
                        default -> ClientResponse.of(HttpStatus.NOT_FOUND_404, "no such page");
                    });
            return;
        }
        if (overLimit) {
            // The client may try another dispatcher at once.
            clients.onRejected(message);
            lastMessage = true;
            send(ClientResponse.rejected(0));
        } else {
            accept(message, arrivedAt);
        }
    }

    private void accept(ClientRequest message, double arrivedAt) {
        unanswered = true;
        try {
            if (!message.method().equals("POST")) {
                throw new BadRequestException(HttpStatus.NOT_FOUND_404, "submissions come by POST");
            }
            if (message.id() == null || message.id().isEmpty() || !(message.timeout() > 0)) {
                throw new BadRequestException(
                        HttpStatus.BAD_REQUEST_400, "X-Request-ID or X-Timeout is missing");
            }
            if (sawEndOfStream()) {
                clients.onNotAccepted();
                onClientGone();
                return;
            }
            RequestAcceptor.AcceptedRequest request = clients.accept(message, arrivedAt, this);
            hadRequest = true;
            if (unanswered) {
                // Otherwise it has its response already, and need not hear that the client left.
                accepted = request;
            }
        } catch (BadRequestException e) {
            clients.onNotAccepted();
            send(ClientResponse.of(e.status(), e.getMessage()));
        }
    }

    /**
     * Checks whether the end of the stream lies unread, so that no attempt runs for nobody: after a
     * standstill of the process a message may be from a client that has given up since.
     */
    private boolean sawEndOfStream() {
        try {
            int count = 1;
            while (count > 0 && canRead()) {
                count = peek();
            }
            return count < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public boolean hasClientLeft() {
        boolean left = !getEndPoint().isOpen() || sawEndOfStream();
        if (left) {
            loop.post(this::onClientGone);
        }
        return left;
    }

    @Override
    public void send(ClientResponse response) {
        accepted = null;
        unanswered = false;
        decoder.release();
        if (!getEndPoint().isOpen() || !busy) {
            return;
        }
        boolean last = lastMessage || clients.closesAfterResponse();
        Callback written =
                Callback.from(
                        () -> loop.post(() -> onResponseWritten(last)),
                        cause -> loop.post(this::onClientGone));
        getEndPoint().write(written, response.encode(last));
    }

    private void onResponseWritten(boolean last) {
        busy = false;
        if (!getEndPoint().isOpen()) {
            return;
        }
        if (last) {
            linger();
            return;
        }
        clients.update(
                this,
                hadRequest
                        ? ConnectionLimit.Stage.IDLE_CLIENT
                        : ConnectionLimit.Stage.IDLE_VISITOR);
        if (!pipelined.isEmpty()) {
            read(pipelined.kept());
            if (pipelined.isEmpty()) {
                pipelined.release();
            }
        }
        if (canRead() && getEndPoint().isOpen() && !isFillInterested()) {
            fillInterested();
        }
    }

    /** Closes the connection once the client has had the time to read the last response. */
    private void linger() {
        lingering = true;
        clients.update(this, ConnectionLimit.Stage.CLOSING);
        pipelined.release();
        getEndPoint().shutdownOutput();
        loop.schedule(LINGER_TIME, this::close);
        if (!isFillInterested() && getEndPoint().isOpen()) {
            fillInterested();
        }
    }

    /** Whether it is between two messages; a new connection may have its first on the way. */
    private boolean isIdle() {
        return hadMessage && !busy && !messageBegun && !lingering;
    }

    /** Closes it if it is between two messages, and nothing of the next one lies unread. */
    void closeIfIdle() {
        if (isIdle() && !hasUnread()) {
            close();
        }
    }

    /**
     * Before the process ends: reads what has arrived, and closes the connection if it is silent.
     */
    void readLastAndClose() {
        if (busy || lingering) {
            return;
        }
        if (sawEndOfStream()) {
            close();
        } else if (!busy) {
            evict();
        }
    }

    /** Reads a little, if there is anything; returns the bytes read, or less than 0 at the end. */
    private int peek() throws IOException {
        ByteBuffer peeked = loop.peekBuffer();
        int count = getEndPoint().fill(peeked);
        if (count > 0) {
            read(peeked);
        }
        return count;
    }

    /** Whether something lay unread; it has been read then. */
    boolean hasUnread() {
        try {
            return peek() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Closes it in favour of another one. A message that has begun gets a rejection: it may be an
     * honest client's.
     */
    void evict() {
        if (!messageBegun) {
            close();
            return;
        }
        clients.onNotAccepted();
        // It does not count any more, whenever the response has been written.
        clients.onClosed(this);
        messageTimer.cancel();
        messageBegun = false;
        lingering = true;
        Callback written =
                Callback.from(() -> loop.post(this::close), cause -> loop.post(this::close));
        getEndPoint().write(written, ClientResponse.rejected(0).encode(true));
    }

    private void onClientGone() {
        RequestAcceptor.AcceptedRequest abandoned = accepted;
        accepted = null;
        busy = false;
        close();
        if (abandoned != null) {
            abandoned.onClientGone();
        }
    }

    /** A client may wait for its response until the deadline, but must read it then. */
    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        if (isIdle()) {
            closeIfIdle();
        } else if (accepted == null) {
            close();
        }
        return false;
    }

    @Override
    public void close() {
        if (messageTimer != null) {
            messageTimer.cancel();
        }
        decoder.release();
        pipelined.release();
        clients.onClosed(this);
        super.close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        decoder.release();
        pipelined.release();
        clients.onClosed(this);
    }
}
