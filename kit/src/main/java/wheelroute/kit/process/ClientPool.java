package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.ResponseListener;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * Pool of client connections to one dispatcher. Each connection carries one request at a time; a
 * new one is opened when none is idle. Used on the event loop's thread.
 */
final class ClientPool {
    private static final double MIN_TIMEOUT_SECONDS = 0.001;
    private static final String RETRY_AFTER_FIELD = "retry-after";

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ResponseListener listener;
    private final ConnectionBehavior behavior;
    private final ClientMessageEncoder encoder;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();

    /** Attempts that have no result yet, by attempt key. */
    private final Map<Long, PendingAttempt> pendingAttempts = new HashMap<>();

    private boolean isProcessKilled;

    ClientPool(
            EventLoop loop,
            InetSocketAddress address,
            ResponseListener listener,
            ConnectionBehavior behavior) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        this.behavior = behavior;
        encoder = new ClientMessageEncoder(address);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Sends an attempt, on an idle connection if there is one and the attempt may reuse a
     * connection.
     */
    void submit(ClientAttempt attempt) {
        PendingAttempt pending = new PendingAttempt(attempt);
        pendingAttempts.put(attempt.key(), pending);
        ClientConnection idle = pending.usesNewConnection ? null : pollIdleConnection();
        if (idle != null) {
            idle.send(pending);
        } else {
            loop.connect(address, pending);
        }
    }

    private ClientConnection pollIdleConnection() {
        ClientConnection connection = idleConnections.pollLast();
        while (connection != null && !connection.getEndPoint().isOpen()) {
            connection = idleConnections.pollLast();
        }
        return connection;
    }

    /**
     * Cancels an attempt by closing its connection; does nothing if the attempt already has a
     * result.
     */
    void cancel(ClientAttempt attempt) {
        PendingAttempt pending = pendingAttempts.remove(attempt.key());
        if (pending != null) {
            pending.isDone = true;
            if (pending.connection != null) {
                pending.connection.close();
            }
        }
    }

    /**
     * Prepares for the kill of the process, which may have read, and forwarded, any request that
     * was written to it.
     */
    void onProcessKilled() {
        isProcessKilled = true;
        onConnectionsBroken();
        closeIdle();
    }

    /**
     * Marks the open connections as ones that may break for reasons outside the dispatcher. If one
     * of them ends, it is unknown whether the dispatcher has read the request on it.
     */
    void onConnectionsBroken() {
        connections.forEach(connection -> connection.mayBreak = true);
    }

    void closeIdle() {
        // Iterates over a copy, because closing a connection removes it from the collection.
        new ArrayList<>(idleConnections).forEach(ClientConnection::close);
        idleConnections.clear();
    }

    /**
     * An attempt that has no result yet; also receives the connection that is opened for the
     * attempt.
     */
    private final class PendingAttempt implements EventLoop.ChannelHandler {
        private final ClientAttempt attempt;
        private final boolean usesNewConnection;
        private final double writePauseSeconds;
        private ClientConnection connection;
        private boolean isDone;
        private boolean wasWritten;

        PendingAttempt(ClientAttempt attempt) {
            this.attempt = attempt;
            usesNewConnection = behavior.usesNewConnection(attempt);
            writePauseSeconds = behavior.writePauseSeconds(attempt);
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            ClientConnection opened = new ClientConnection(endPoint);
            loop.post(
                    () -> {
                        if (isDone) {
                            opened.close();
                        } else {
                            opened.send(this);
                        }
                    });
            return opened;
        }

        @Override
        public void onFailed(Throwable cause) {
            if (!isDone) {
                finish();
                if (isProcessKilled && wasWritten) {
                    listener.onConnectionLost(attempt);
                } else {
                    listener.onRefused(attempt);
                }
            }
        }

        private void finish() {
            isDone = true;
            pendingAttempts.remove(attempt.key());
        }
    }

    private final class ClientConnection extends StreamConnection
            implements ResponseParser.Handler {
        private final ResponseParser parser = new ResponseParser(this, Set.of(RETRY_AFTER_FIELD));
        private final WriteQueue out;

        /** The attempt whose response is awaited; null while the connection is idle. */
        private PendingAttempt pending;

        /**
         * Whether a response was received on this connection. The dispatcher may close such a
         * connection while it is idle.
         */
        private boolean hasServedRequest;

        private boolean hasReceivedBytes;
        private boolean mayBreak;
        private int status;
        private double retryAfterSeconds;

        ClientConnection(EndPoint endPoint) {
            super(endPoint, ClientPool.this.loop);
            out = new WriteQueue(endPoint, () -> onFailure(null));
            connections.add(this);
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            connections.remove(this);
        }

        void send(PendingAttempt next) {
            pending = next;
            next.connection = this;
            hasReceivedBytes = false;
            if (!getEndPoint().isOpen()) {
                onLost();
                return;
            }
            next.wasWritten = true;
            // The dispatcher counts the timeout from the last byte of the request.
            double timeoutSeconds =
                    Math.max(
                            MIN_TIMEOUT_SECONDS,
                            next.attempt.timeoutSeconds() - next.writePauseSeconds);
            write(next, encoder.encode(next.attempt, timeoutSeconds));
        }

        private void write(PendingAttempt next, byte[] message) {
            if (next.writePauseSeconds <= 0) {
                out.send(ByteBuffer.wrap(message));
                return;
            }
            int half = message.length / 2;
            out.send(ByteBuffer.wrap(message, 0, half));
            loop.schedule(
                    next.writePauseSeconds,
                    () -> {
                        if (pending == next) {
                            out.send(ByteBuffer.wrap(message, half, message.length - half));
                        }
                    });
        }

        @Override
        protected void onBytes(ByteBuffer in) throws IOException {
            hasReceivedBytes = true;
            parser.parse(in);
        }

        @Override
        public void onHeaders(int newStatus, Map<String, String> fields) {
            status = newStatus;
            retryAfterSeconds = 0;
            String retryAfter = fields.get(RETRY_AFTER_FIELD);
            if (retryAfter != null && retryAfter.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                retryAfterSeconds = Double.parseDouble(retryAfter);
            }
        }

        @Override
        public void onContent(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void onComplete(boolean keepsOpen) {
            PendingAttempt done = pending;
            pending = null;
            hasServedRequest = true;
            if (done == null) {
                // The response belongs to no request.
                close();
                return;
            }
            done.finish();
            if (keepsOpen && !done.usesNewConnection) {
                idleConnections.addLast(this);
            } else {
                close();
            }
            listener.onResponse(done.attempt, finalResponse(), retryAfterSeconds);
        }

        private FinalResponse finalResponse() {
            return switch (status) {
                case 200 -> FinalResponse.SUCCEEDED;
                case 429, 503 -> FinalResponse.REJECTED;
                default -> FinalResponse.FAILED;
            };
        }

        @Override
        protected void onEndOfStream() throws IOException {
            close();
            onLost();
        }

        @Override
        protected void onFailure(Throwable cause) {
            close();
            onLost();
        }

        private void onLost() {
            idleConnections.remove(this);
            PendingAttempt last = pending;
            pending = null;
            if (last == null || last.isDone) {
                return;
            }
            if (isCertainlyUnread()) {
                last.connection = null;
                loop.connect(address, last);
                return;
            }
            last.finish();
            listener.onConnectionLost(last.attempt);
        }

        /**
         * Whether the dispatcher cannot have read the request, because it closed an idle connection
         * while the request was in transit. A killed process may have read the request, and sending
         * it again could run a non-idempotent request twice.
         */
        private boolean isCertainlyUnread() {
            return hasServedRequest && !hasReceivedBytes && !mayBreak && !isProcessKilled;
        }
    }
}
