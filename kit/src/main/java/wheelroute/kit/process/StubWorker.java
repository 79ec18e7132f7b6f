package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerModel;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * Serves a worker of the model over HTTP on a listening socket. Used on the event loop's thread.
 */
final class StubWorker implements EventLoop.ChannelHandler, WorkerModel.PortListener {
    /** Work of a request whose body does not state it. */
    private static final double DEFAULT_WORK_SECONDS = 0.05;

    /**
     * Delay before the worker tries again to listen, because the system may not have released the
     * port yet.
     */
    private static final double RELISTEN_DELAY_SECONDS = 0.05;

    private static final Logger LOG = LoggerFactory.getLogger(StubWorker.class);

    private final EventLoop loop;
    private final WorkerModel model;
    private final Auditor auditor;
    private final Set<DispatcherConnection> connections = new HashSet<>();
    private final InetSocketAddress address;

    /** Listening socket; null while the worker is down. */
    private ServerSocketChannel server;

    /** Creates a worker and starts to listen. */
    StubWorker(EventLoop loop, WorkerModel model, Auditor auditor, InetSocketAddress listenAddress)
            throws IOException {
        this.loop = loop;
        this.model = model;
        this.auditor = auditor;
        server = loop.listen(listenAddress, this);
        address = Loopback.address(server.socket().getLocalPort());
        model.portListener(this);
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        DispatcherConnection connection = new DispatcherConnection(endPoint);
        connections.add(connection);
        return connection;
    }

    @Override
    public void onFailed(Throwable cause) {
        LOG.warn("worker {} failed to accept a connection: {}", model.name, cause.toString());
    }

    @Override
    public void onOpened(WorkerModel worker) {
        try {
            if (server == null) {
                server = loop.listen(address, this);
            }
        } catch (IOException e) {
            loop.schedule(
                    RELISTEN_DELAY_SECONDS,
                    () -> {
                        if (worker.isUp()) {
                            onOpened(worker);
                        }
                    });
        }
    }

    @Override
    public void onClosed(WorkerModel worker) {
        try {
            if (server != null) {
                loop.closeListener(server);
                server = null;
            }
        } catch (IOException e) {
            LOG.warn(
                    "worker {} failed to close its listening socket: {}", model.name, e.toString());
        }
        // The model itself ends the connections that carry an attempt.
        loop.schedule(0, this::closeIdleConnections);
    }

    private void closeIdleConnections() {
        for (DispatcherConnection connection : new HashSet<>(connections)) {
            if (connection.attempt == null) {
                connection.closeNow();
            }
        }
    }

    /**
     * Called when the dispatcher has closed a connection while the link delays the closing. The
     * attempt on this connection no longer counts as a concurrent copy of its request.
     *
     * @param port remote port of the connection at the worker
     */
    void onDispatcherClosed(int port) {
        for (DispatcherConnection connection : connections) {
            if (connection.attempt != null
                    && connection.getEndPoint().getRemoteSocketAddress()
                            instanceof InetSocketAddress remote
                    && remote.getPort() == port) {
                auditor.onClosed(connection.attempt);
            }
        }
    }

    /** One connection of a dispatcher, which carries one attempt at a time. */
    private final class DispatcherConnection extends ServerConnection
            implements WorkerAttempt.Reply {
        private WorkerAttempt attempt;
        private String requestId;
        private boolean isHeadSent;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubWorker.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            if (attempt != null || message.id() == null) {
                out.send(
                        "HTTP/1.1 "
                                + (message.id() == null ? "404 Not Found" : "400 Bad Request")
                                + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                out.close();
                return;
            }
            JobCodec.Job job = JobCodec.decode(message, DEFAULT_WORK_SECONDS);
            requestId = message.id();
            isHeadSent = false;
            attempt =
                    new WorkerAttempt(job.requestId(), job.work(), job.slots(), job.memory(), this);
            model.accept(attempt);
        }

        /** Sends a line of the response body, and the response head before the first line. */
        private void sendLine(String fields) {
            if (!isHeadSent) {
                isHeadSent = true;
                out.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            String line =
                    "{\"id\":\""
                            + requestId
                            + "\",\"from\":\""
                            + model.name
                            + "\","
                            + fields
                            + "}\n";
            out.send(
                    Integer.toHexString(line.getBytes(StandardCharsets.UTF_8).length)
                            + "\r\n"
                            + line
                            + "\r\n");
        }

        private void sendLastLine(String fields) {
            sendLine(fields);
            out.send("0\r\n\r\n");
        }

        @Override
        public void onStarted() {
            sendLine("\"state\":\"started\"");
        }

        @Override
        public void onProgress(double share) {
            sendLine(String.format(Locale.ROOT, "\"state\":\"running\",\"share\":%.3f", share));
        }

        @Override
        public void onEnded(AttemptEnding ending, double freeSlots) {
            attempt = null;
            boolean reportsLoad = !Double.isNaN(freeSlots);
            String loadField = reportsLoad ? ",\"load\":{\"x0\":" + freeSlots + "}" : "";
            String loadHeader = reportsLoad ? "X-Server-Load: x0=" + freeSlots + "\r\n" : "";
            switch (ending) {
                case SUCCEEDED -> sendLastLine(resultFields() + loadField);
                case RETURNED -> sendLastLine("\"state\":\"returned\"" + loadField);
                case FAILED -> sendFailure(loadField, loadHeader);
                case REJECTED -> sendEmpty("503 Full", "X-Not-Processed: 1\r\n" + loadHeader);
                case CONNECTION_LOST -> closeNow();
            }
        }

        private String resultFields() {
            return "\"state\":\"done\",\"result\":\"" + requestId + " by " + model.name + "\"";
        }

        private void sendFailure(String loadField, String loadHeader) {
            if (isHeadSent) {
                sendLastLine("\"state\":\"failed\"" + loadField);
            } else {
                sendEmpty("500 Failed", loadHeader);
            }
        }

        private void sendEmpty(String status, String headers) {
            out.send("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n");
        }

        @Override
        protected void onClosed() {
            connections.remove(this);
            if (attempt != null) {
                auditor.onClosed(attempt);
                model.cancel(attempt);
                attempt = null;
            }
        }
    }
}
