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
 * The connection of a client. Handles one message at a time: the next one is decoded once the
 * response to the previous one has been written.
 *
 * <p>Used on the event loop's thread only. Failures of the connection are reported to the accepted
 * request as the departure of its client.
 */
final class ClientConnection extends StreamConnection implements RequestAcceptor.ResponseSender {
    /** How long a closing connection discards input: a reset could destroy the last response. */
    private static final double LINGER_SECONDS = 1;

    private final ClientServer clients;
    private final MessageInput input;
    private State state = State.READING;

    /** The request whose response is awaited; null if there is none. */
    private RequestAcceptor.AcceptedRequest accepted;

    /** Whether the response to the current message is the last one. */
    private boolean isLastMessage;

    private boolean hasAcceptedRequest;

    /** Whether the connection is over the limit, so that its requests are rejected. */
    private boolean isOverLimit;

    private enum State {
        /** Waiting for a message, or reading one. */
        READING,
        /** A message was read, and its response is awaited. Further input is buffered. */
        AWAITING_RESPONSE,
        /** The response is being written. Further input is buffered. */
        WRITING_RESPONSE,
        /** The last response has been sent. Input is discarded, and the connection closes soon. */
        LINGERING
    }

    ClientConnection(EndPoint endPoint, EventLoop loop, ClientServer clients) {
        super(endPoint, loop);
        this.clients = clients;
        input =
                new MessageInput(
                        loop,
                        clients.bodyQuota(),
                        clients.pipelinedQuota(),
                        this::onMessageTimeout);
    }

    @Override
    public void onOpen() {
        isOverLimit = !clients.onOpened(this);
        super.onOpen();
        input.startTimeout();
    }

    private void onMessageTimeout() {
        if (input.hasPartialMessage()) {
            refuse(
                    new BadRequestException(
                            HttpStatus.REQUEST_TIMEOUT_408, "the message has not come in time"));
        } else {
            close();
        }
    }

    // ---- reading

    private boolean isBusy() {
        return state == State.AWAITING_RESPONSE || state == State.WRITING_RESPONSE;
    }

    @Override
    protected boolean canRead() {
        // Between messages input is always read: full buffers of other clients must not prevent it.
        return !isBusy() || !input.isBufferFull();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        if (state != State.LINGERING) {
            read(in);
        }
    }

    /** Treats the end of the client's output as its departure. */
    @Override
    protected void onEndOfStream() {
        onClientGone();
    }

    @Override
    protected void onFailure(Throwable cause) {
        onClientGone();
    }

    private void read(ByteBuffer in) {
        if (isBusy()) {
            input.buffer(in);
            return;
        }
        try {
            MessageInput.ReceivedMessage message = input.decode(in);
            if (message == null) {
                clients.update(this, ConnectionLimit.Stage.READING);
            } else {
                handle(message.request(), message.arrivedAt());
            }
        } catch (BadRequestException e) {
            refuse(e);
        }
    }

    /** Responds to a malformed message, and closes, as it is unknown where the next one begins. */
    private void refuse(BadRequestException e) {
        input.cancelTimeout();
        clients.onNotAccepted();
        clients.update(this, ConnectionLimit.Stage.IN_FLIGHT);
        isLastMessage = true;
        state = State.AWAITING_RESPONSE;
        send(ClientResponse.of(e.status(), e.getMessage()));
    }

    // ---- handling a message

    private void handle(ClientRequest message, double arrivedAt) {
        state = State.AWAITING_RESPONSE;
        isLastMessage = !message.keepsOpen();
        clients.update(this, ConnectionLimit.Stage.IN_FLIGHT);
        if (message.method().equals("GET")) {
            send(clients.page(message.path()));
        } else if (isOverLimit) {
            clients.onRejected(message);
            isLastMessage = true;
            send(ClientResponse.rejected(ClientResponse.NO_RETRY_AFTER));
        } else {
            accept(message, arrivedAt);
        }
    }

    private void accept(ClientRequest message, double arrivedAt) {
        try {
            message.checkAcceptable();
            if (sawEndOfStream()) {
                clients.onNotAccepted();
                onClientGone();
                return;
            }
            RequestAcceptor.AcceptedRequest request = clients.accept(message, arrivedAt, this);
            hasAcceptedRequest = true;
            if (state == State.AWAITING_RESPONSE) {
                accepted = request;
            }
        } catch (BadRequestException e) {
            clients.onNotAccepted();
            send(ClientResponse.of(e.status(), e.getMessage()));
        }
    }

    /**
     * Reads what has arrived, and returns whether the end of the stream was among it. After a pause
     * of the process, a message may be from a client that has gone since, and for which no attempt
     * should be started.
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

    /** Reads once without waiting. Returns the number of bytes, negative at the stream's end. */
    private int peek() throws IOException {
        ByteBuffer peeked = loop.peekBuffer();
        int count = getEndPoint().fill(peeked);
        if (count > 0) {
            read(peeked);
        }
        return count;
    }

    /** Reads what has arrived, and returns whether there was anything. */
    boolean hasUnread() {
        try {
            return peek() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public boolean isClientGone() {
        boolean isGone = !getEndPoint().isOpen() || sawEndOfStream();
        if (isGone) {
            loop.post(this::onClientGone);
        }
        return isGone;
    }

    // ---- responding

    @Override
    public void send(ClientResponse response) {
        accepted = null;
        input.releaseBody();
        if (state == State.AWAITING_RESPONSE) {
            state = State.WRITING_RESPONSE;
        }
        if (!getEndPoint().isOpen() || state != State.WRITING_RESPONSE) {
            return;
        }
        boolean isLast = isLastMessage || clients.closesAfterResponse();
        Callback written =
                Callback.from(
                        () -> loop.post(() -> onResponseWritten(isLast)),
                        cause -> loop.post(this::onClientGone));
        getEndPoint().write(written, response.encode(isLast));
    }

    private void onResponseWritten(boolean isLast) {
        state = State.READING;
        if (!getEndPoint().isOpen()) {
            return;
        }
        if (isLast) {
            linger();
            return;
        }
        clients.update(
                this,
                hasAcceptedRequest
                        ? ConnectionLimit.Stage.IDLE_CLIENT
                        : ConnectionLimit.Stage.IDLE_VISITOR);
        if (input.hasBuffered()) {
            read(input.buffered());
            if (!input.hasBuffered()) {
                input.releaseBuffer();
            }
        }
        if (canRead() && getEndPoint().isOpen() && !isFillInterested()) {
            fillInterested();
        }
    }

    // ---- closing

    /** Closes the connection after the time that the client needs to read the last response. */
    private void linger() {
        state = State.LINGERING;
        clients.update(this, ConnectionLimit.Stage.CLOSING);
        input.releaseBuffer();
        getEndPoint().shutdownOutput();
        loop.schedule(LINGER_SECONDS, this::close);
        if (!isFillInterested() && getEndPoint().isOpen()) {
            fillInterested();
        }
    }

    /** Whether it is between two messages. A new connection may have its first one in transit. */
    private boolean isIdle() {
        return state == State.READING && input.isBetweenMessages();
    }

    /** Closes the connection if it is idle and no part of a message has arrived. */
    void closeIfIdle() {
        if (isIdle() && !hasUnread()) {
            close();
        }
    }

    /** Before the process ends: handles a message that has arrived, or else closes. */
    void readLastAndClose() {
        if (state != State.READING) {
            return;
        }
        if (sawEndOfStream()) {
            close();
        } else if (!isBusy()) {
            evict();
        }
    }

    /**
     * Closes the connection in favour of another one. If part of a message has been read, which may
     * be that of a slow client, a rejection is sent first.
     */
    void evict() {
        if (!input.hasPartialMessage()) {
            close();
            return;
        }
        clients.onNotAccepted();
        // From now on it does not count against the limit, even before the response is written.
        clients.onClosed(this);
        input.abandonMessage();
        state = State.LINGERING;
        Callback written =
                Callback.from(() -> loop.post(this::close), cause -> loop.post(this::close));
        ByteBuffer[] rejection =
                ClientResponse.rejected(ClientResponse.NO_RETRY_AFTER).encode(true);
        getEndPoint().write(written, rejection);
    }

    private void onClientGone() {
        RequestAcceptor.AcceptedRequest abandoned = accepted;
        accepted = null;
        if (isBusy()) {
            state = State.READING;
        }
        close();
        if (abandoned != null) {
            abandoned.onClientGone();
        }
    }

    /** A client may wait for a response until its deadline, but must read the response then. */
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
        input.cancelTimeout();
        release();
        super.close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        release();
    }

    private void release() {
        input.releaseBody();
        input.releaseBuffer();
        clients.onClosed(this);
    }
}
