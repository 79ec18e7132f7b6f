package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
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

/** A worker of the model behind a socket: the protocol's words for what the model does. */
final class StubWorker implements EventLoop.ChannelHandler, WorkerModel.PortListener {
    /** Work of a job that does not say how much it is. */
    private static final double USUAL_WORK = 0.05;

    /** A port that was ours a moment ago is free again soon. */
    private static final double LISTEN_AGAIN = 0.05;

    private static final Logger LOG = LoggerFactory.getLogger(StubWorker.class);

    private final EventLoop loop;
    private final WorkerModel model;
    private final Auditor auditor;
    private final Set<DispatcherConnection> lines = new HashSet<>();
    private InetSocketAddress address;
    private ServerSocketChannel server;

    StubWorker(EventLoop loop, WorkerModel model, Auditor auditor, InetSocketAddress wanted)
            throws IOException {
        this.loop = loop;
        this.model = model;
        this.auditor = auditor;
        server = loop.listen(wanted, this);
        address =
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
        model.portListener(this);
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        DispatcherConnection line = new DispatcherConnection(endPoint);
        lines.add(line);
        return line;
    }

    @Override
    public void onFailed(Throwable cause) {
        LOG.warn("{} could not accept: {}", model.name, cause.toString());
    }

    @Override
    public void onOpened(WorkerModel worker) {
        try {
            if (server == null) {
                server = loop.listen(address, this);
            }
        } catch (IOException e) {
            loop.schedule(
                    LISTEN_AGAIN,
                    () -> {
                        if (worker.isUp()) {
                            onOpened(worker);
                        }
                    });
        }
    }

    @Override
    public void closed(WorkerModel worker) {
        try {
            if (server != null) {
                loop.closeListener(server);
                server = null;
            }
        } catch (IOException e) {
            LOG.warn("{} did not stop listening: {}", model.name, e.toString());
        }
        // Those with an attempt out are ended by the model's own word, the idle ones here.
        loop.schedule(
                0,
                () ->
                        new HashSet<>(lines)
                                .forEach(
                                        line -> {
                                            if (line.launch == null) {
                                                line.closeNow();
                                            }
                                        }));
    }

    /**
     * The dispatcher has closed a connection of which its way keeps that back: it is no copy any
     * more.
     */
    void nearClosed(int port) {
        for (DispatcherConnection line : lines) {
            if (line.launch != null
                    && line.getEndPoint().getRemoteSocketAddress() instanceof InetSocketAddress from
                    && from.getPort() == port) {
                auditor.onClosed(line.launch);
            }
        }
    }

    /** One connection: an attempt at a time. */
    private final class DispatcherConnection extends ServerConnection
            implements WorkerAttempt.Reply {
        private WorkerAttempt launch;
        private String id;
        private boolean headSent;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubWorker.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            if (launch != null || message.id() == null) {
                out.send(
                        "HTTP/1.1 "
                                + (message.id() == null ? "404 Not Found" : "400 Bad Request")
                                + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                out.close();
                return;
            }
            JobCodec.Job job = JobCodec.decode(message, USUAL_WORK);
            id = message.id();
            headSent = false;
            launch =
                    new WorkerAttempt(job.requestId(), job.work(), job.slots(), job.memory(), this);
            model.accept(launch);
        }

        private void line(String rest) {
            if (!headSent) {
                headSent = true;
                out.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            String text = "{\"id\":\"" + id + "\",\"from\":\"" + model.name + "\"," + rest + "}\n";
            out.send(
                    Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
                            + "\r\n"
                            + text
                            + "\r\n");
        }

        @Override
        public void onStarted() {
            line("\"state\":\"started\"");
        }

        @Override
        public void onProgress(double share) {
            line(String.format(Locale.ROOT, "\"state\":\"running\",\"share\":%.3f", share));
        }

        @Override
        public void onEnded(AttemptEnding ending, double freeSlots) {
            launch = null;
            boolean reports = !Double.isNaN(freeSlots);
            String load = reports ? ",\"load\":{\"x0\":" + freeSlots + "}" : "";
            String header = reports ? "X-Server-Load: x0=" + freeSlots + "\r\n" : "";
            switch (ending) {
                case SUCCEEDED ->
                        last(
                                "\"state\":\"done\",\"result\":\""
                                        + id
                                        + " by "
                                        + model.name
                                        + "\""
                                        + load);
                case RETURNED -> last("\"state\":\"returned\"" + load);
                case FAILED -> {
                    if (headSent) {
                        last("\"state\":\"failed\"" + load);
                    } else {
                        out.send("HTTP/1.1 500 Failed\r\n" + header + "Content-Length: 0\r\n\r\n");
                    }
                }
                case REJECTED ->
                        out.send(
                                "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n"
                                        + header
                                        + "Content-Length: 0\r\n\r\n");
                case CONNECTION_LOST -> closeNow();
            }
        }

        private void last(String rest) {
            line(rest);
            out.send("0\r\n\r\n");
        }

        @Override
        protected void onClosed() {
            lines.remove(this);
            if (launch != null) {
                auditor.onClosed(launch);
                model.cancel(launch);
                launch = null;
            }
        }
    }
}
