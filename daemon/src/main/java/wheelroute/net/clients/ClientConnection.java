package wheelroute.net.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * The connection of a client. Handles one message at a time, and decodes the next message when the
 * response to the previous one has been written.
 *
 * <p>Used on the event loop's thread only. A failure of the connection is reported to the accepted
 * request as a disconnect of its client.
 */
final class ClientConnection extends StreamConnection implements RequestAcceptor.ResponseSender {
    /**
     * How long a closing connection still reads and discards input. Closing with unread input would
     * reset the connection, so that the client could lose the last response.
     */
    private static final double LINGER_SECONDS = 1;

    private final ClientServer server;
    private final MessageInput input;
    private final ResponseWriter writer;
    private final PresenceCheck presenceCheck = new PresenceCheck(this::readOnce);
    private final EndOfStreamPoll endOfStreamPoll;
    private State state = State.READING;

    /** The accepted request whose response is awaited; null if there is none. */
    private RequestAcceptor.AcceptedRequest accepted;

    /** Whether the response to the current message is the last one on the connection. */
    private boolean isLastMessage;

    private boolean hasAcceptedRequest;

    /** Whether the connection is over the limit, so that its requests are rejected. */
    private boolean isOverLimit;

    private enum State {
        /** The connection waits for a message, or reads one. */
        READING,
        /** A message was read and its response is awaited. Further input is buffered. */
        AWAITING_RESPONSE,
        /** The response is being written. Further input is buffered. */
        WRITING_RESPONSE,
        /** The last response has been sent. Input is discarded, and the connection closes soon. */
        LINGERING
    }

    ClientConnection(EndPoint endPoint, EventLoop loop, ClientServer server) {
        super(endPoint, loop);
        this.server = server;
        input = new MessageInput(loop, server.heapBudget(), this::onMessageTimeout);
        writer = new ResponseWriter(endPoint, server.heapBudget().responses());
        endOfStreamPoll = new EndOfStreamPoll(loop, this::pollEndOfStream);
    }

    @Override
    public void onOpen() {
        isOverLimit = !server.onOpened(this);
        super.onOpen();
        input.startTimeout();
    }

    private void onMessageTimeout() {
        if (input.hasPartialMessage()) {
            sendErrorAndClose(
                    new BadRequestException(
                            HttpStatus.REQUEST_TIMEOUT_408, "the message has not come in time"));
        } else {
            close();
        }
    }

    private boolean isBusy() {
        return state == State.AWAITING_RESPONSE || state == State.WRITING_RESPONSE;
    }

    @Override
    protected boolean canRead() {
        // Between messages input is always read, even if other clients have exhausted the quota.
        return !isBusy() || !input.isReadingPaused();
    }

    @Override
    protected ByteBuffer readBuffer() {
        return input.isMemoryScarce() ? loop.smallReadBuffer() : loop.readBuffer();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        if (state != State.LINGERING) {
            read(in);
        }
    }

    /** Treats the end of the client's output as a disconnect. */
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
                server.update(this, ConnectionLimit.Stage.READING);
            } else {
                handle(message.request(), message.arrivedAt());
            }
        } catch (BadRequestException e) {
            sendErrorAndClose(e);
        }
    }

    /**
     * Sends an error response to a malformed or late message, and closes the connection, because
     * the beginning of the next message is unknown.
     */
    private void sendErrorAndClose(BadRequestException e) {
        input.cancelTimeout();
        server.onNotAccepted();
        server.update(this, ConnectionLimit.Stage.IN_FLIGHT);
        isLastMessage = true;
        state = State.AWAITING_RESPONSE;
        send(ClientResponse.of(e.status(), e.getMessage()));
    }

    private void handle(ClientRequest message, double arrivedAt) {
        state = State.AWAITING_RESPONSE;
        isLastMessage = !message.keepsOpen();
        server.update(this, ConnectionLimit.Stage.IN_FLIGHT);
        if (message.method().equals("GET")) {
            send(server.responseToGet(message.path()));
        } else if (isOverLimit) {
            server.onRejected(message);
            isLastMessage = true;
            send(ClientResponse.rejected(ClientResponse.NO_RETRY_AFTER));
        } else {
            accept(message, arrivedAt);
        }
    }

    private void accept(ClientRequest message, double arrivedAt) {
        try {
            message.checkAcceptable();
            ClientPresence presence = presenceCheck.check(PresenceCheck.MAX_BYTES);
            if (presence == ClientPresence.GONE) {
                server.onNotAccepted();
                onClientGone();
                return;
            }
            if (presence == ClientPresence.UNCERTAIN) {
                sendErrorAndClose(BadRequestException.tooMuchInput());
                return;
            }
            RequestAcceptor.AcceptedRequest request = server.accept(message, arrivedAt, this);
            hasAcceptedRequest = true;
            if (state == State.AWAITING_RESPONSE) {
                accepted = request;
            }
        } catch (BadRequestException e) {
            server.onNotAccepted();
            send(ClientResponse.of(e.status(), e.getMessage()));
        }
    }

    /** Keeps looking for the end of the stream while an accepted request waits. */
    @Override
    protected void onReadingPaused() {
        if (accepted != null) {
            endOfStreamPoll.schedule();
        }
    }

    private void pollEndOfStream() {
        if (accepted != null
                && presenceCheck.check(PipelinedInput.MAX_BYTES) == ClientPresence.GONE) {
            onClientGone();
        } else {
            resumeReading();
        }
    }

    /** Reads once without waiting. Returns the number of bytes, or -1 at the end of the stream. */
    private int readOnce() throws IOException {
        ByteBuffer in = isBusy() && input.hasGap() ? loop.discardBuffer() : loop.scratchBuffer();
        int count = getEndPoint().fill(in);
        if (count > 0) {
            read(in);
        }
        return count;
    }

    /** Reads bytes that have arrived, and returns whether there were any. */
    boolean readAvailable() {
        try {
            return readOnce() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public ClientPresence checkPresence() {
        ClientPresence presence =
                getEndPoint().isOpen()
                        ? presenceCheck.check(PresenceCheck.MAX_BYTES)
                        : ClientPresence.GONE;
        if (presence == ClientPresence.GONE) {
            loop.post(this::onClientGone);
        }
        return presence;
    }

    @Override
    public void send(ClientResponse response) {
        accepted = null;
        input.releaseMessage();
        if (state == State.AWAITING_RESPONSE) {
            state = State.WRITING_RESPONSE;
        }
        if (!getEndPoint().isOpen() || state != State.WRITING_RESPONSE) {
            return;
        }
        boolean isLast = isLastMessage || server.closesAfterResponse();
        writer.write(
                response,
                isLast,
                () -> continueAfterResponse(isLast),
                () -> loop.post(this::onClientGone));
    }

    /**
     * Continues with the next message: in a later pass of the event loop if it is buffered already.
     */
    private void continueAfterResponse(boolean isLast) {
        if (input.hasBuffered()) {
            loop.defer(() -> onResponseWritten(isLast));
        } else {
            loop.post(() -> onResponseWritten(isLast));
        }
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
        server.update(
                this,
                hasAcceptedRequest
                        ? ConnectionLimit.Stage.IDLE_CLIENT
                        : ConnectionLimit.Stage.IDLE_NO_REQUEST);
        if (input.hasBuffered()) {
            read(input.buffered());
            if (!input.hasBuffered()) {
                input.releaseBuffer();
            }
        }
        if (state == State.READING && input.hasGap() && getEndPoint().isOpen()) {
            // All messages before the first discarded one have been answered.
            sendErrorAndClose(BadRequestException.tooMuchInput());
        }
        if (!canRead()) {
            onReadingPaused();
        } else if (getEndPoint().isOpen() && !isFillInterested()) {
            fillInterested();
        }
    }

    /** Closes the connection after a delay in which the client can read the last response. */
    private void linger() {
        state = State.LINGERING;
        server.update(this, ConnectionLimit.Stage.CLOSING);
        input.releaseBuffer();
        getEndPoint().shutdownOutput();
        loop.schedule(LINGER_SECONDS, this::close);
        if (!isFillInterested() && getEndPoint().isOpen()) {
            fillInterested();
        }
    }

    /**
     * Whether the connection is between two messages. A new connection is not, because its first
     * message may be in transit.
     */
    private boolean isIdle() {
        return state == State.READING && input.isBetweenMessages();
    }

    /** Closes the connection if it is idle and no part of a message has arrived. */
    void closeIfIdle() {
        if (isIdle() && !readAvailable()) {
            close();
        }
    }

    /** Handles a message that has arrived, or else closes the connection; for the shutdown. */
    void readPendingOrClose() {
        if (state != State.READING) {
            return;
        }
        if (presenceCheck.check(PresenceCheck.MAX_BYTES) == ClientPresence.GONE) {
            close();
        } else if (!isBusy()) {
            evict();
        }
    }

    /**
     * Closes the connection in favour of another one. If a part of a message has been read, which
     * may come from a slow client, a rejection is sent first.
     */
    void evict() {
        if (!input.hasPartialMessage()) {
            close();
            return;
        }
        server.onNotAccepted();
        // From here on the connection does not count against the limit, even though the rejection
        // has not been written.
        server.onClosed(this);
        input.abandonMessage();
        state = State.LINGERING;
        writer.write(
                ClientResponse.rejected(ClientResponse.NO_RETRY_AFTER),
                true,
                () -> loop.post(this::close),
                () -> loop.post(this::close));
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

    /**
     * Closes the connection unless an accepted request awaits its response. A client may wait for a
     * response until its deadline, but must then read the response.
     */
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
        input.releaseMessage();
        input.releaseBuffer();
        writer.release();
        server.onClosed(this);
    }
}
