package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.decision.Idempotency;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.ResponseListener;
import wheelroute.net.http.HttpMessageBuilder;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * Clients' connections to one dispatcher: one request at a time on each, more when all are busy.
 */
final class ClientPool {
    private static final double MICROS = 1e6;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ResponseListener clients;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final Map<Long, PendingSend> open = new HashMap<>();
    private final Set<ClientConnection> lines = new HashSet<>();
    private final ConnectionBehavior manners;
    private boolean dead;

    /** How requests come: see {@link wheelroute.kit.scenario.Scenario.Clients}. */
    interface ConnectionBehavior {
        /** It has a connection of its own. */
        boolean isFresh(ClientAttempt clientAttempt);

        /** So long between the two pieces in which it is written; 0 for one piece. */
        double pause(ClientAttempt clientAttempt);
    }

    /** All at once, on whatever connection is idle. */
    static final ConnectionBehavior USUAL =
            new ConnectionBehavior() {
                @Override
                public boolean isFresh(ClientAttempt submitted) {
                    return false;
                }

                @Override
                public double pause(ClientAttempt submitted) {
                    return 0;
                }
            };

    ClientPool(
            EventLoop loop,
            InetSocketAddress address,
            ResponseListener clients,
            ConnectionBehavior manners) {
        this.loop = loop;
        this.address = address;
        this.clients = clients;
        this.manners = manners;
    }

    InetSocketAddress address() {
        return address;
    }

    void submit(ClientAttempt clientAttempt) {
        PendingSend sending = new PendingSend(clientAttempt);
        open.put(clientAttempt.key(), sending);
        if (sending.fresh) {
            loop.connect(address, sending);
            return;
        }
        for (ClientConnection line = idle.pollLast(); line != null; line = idle.pollLast()) {
            if (line.getEndPoint().isOpen()) {
                line.send(sending);
                return;
            }
        }
        loop.connect(address, sending);
    }

    void hangUp(ClientAttempt clientAttempt) {
        PendingSend sending = open.remove(clientAttempt.key());
        if (sending != null) {
            sending.over = true;
            if (sending.line != null) {
                sending.line.close();
            }
        }
    }

    /** Its process is killed: what was written to it may have been read, and may have run. */
    void died() {
        dead = true;
        severed();
        closeIdle();
    }

    /**
     * What is open now breaks for no reason of the dispatcher's: what it has read of it nobody
     * knows.
     */
    void severed() {
        lines.forEach(line -> line.severed = true);
    }

    /** What is idle is of no more use. */
    void closeIdle() {
        // Each takes itself off the list as it goes.
        new ArrayList<>(idle).forEach(ClientConnection::close);
        idle.clear();
    }

    private byte[] message(ClientAttempt clientAttempt, double timeout) {
        HttpMessageBuilder text =
                new HttpMessageBuilder(
                                "POST /"
                                        + clientAttempt.request().requestClass().name()
                                        + " HTTP/1.1")
                        .field("Host", address.getAddress().getHostAddress())
                        .field("X-Request-ID", JobCodec.encodeId(clientAttempt))
                        .field("X-Timeout", String.format(Locale.ROOT, "%.3f", timeout));
        if (!Double.isNaN(clientAttempt.request().costEstimate())) {
            text.field(
                    "X-Cost",
                    Long.toString(Math.round(MICROS * clientAttempt.request().costEstimate())));
        }
        if (!clientAttempt.request().tenant().name().isEmpty()) {
            text.field("X-Tenant-ID", clientAttempt.request().tenant().name());
        }
        if (clientAttempt.number() > 0) {
            text.field("X-Retried", "1");
        }
        int slots = clientAttempt.request().requestClass().slots();
        if (slots > 1) {
            text.field("X-Attrs", "slots=" + slots);
        }
        if (clientAttempt.request().requestClass().idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            text.field("Idempotency-Key", "key-" + clientAttempt.request().number());
        }
        byte[] body = JobCodec.encodeBody(clientAttempt);
        ByteBuffer[] parts = text.body(body);
        ByteBuffer whole = ByteBuffer.allocate(parts[0].remaining() + parts[1].remaining());
        whole.put(parts[0]).put(parts[1]);
        return whole.array();
    }

    /** One request on its way. */
    private final class PendingSend implements EventLoop.ChannelHandler {
        private final ClientAttempt submitted;
        private final boolean fresh;
        private final double pause;
        private ClientConnection line;
        private boolean over;
        private boolean wasWritten;

        PendingSend(ClientAttempt clientAttempt) {
            this.submitted = clientAttempt;
            fresh = manners.isFresh(clientAttempt);
            pause = manners.pause(clientAttempt);
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            ClientConnection opened = new ClientConnection(endPoint);
            loop.post(
                    () -> {
                        if (over) {
                            opened.close();
                        } else {
                            opened.send(this);
                        }
                    });
            return opened;
        }

        @Override
        public void onFailed(Throwable cause) {
            if (!over) {
                open.remove(submitted.key());
                over = true;
                if (dead && wasWritten) {
                    clients.onConnectionLost(submitted);
                } else {
                    clients.onRefused(submitted);
                }
            }
        }
    }

    private final class ClientConnection extends StreamConnection implements ResponseParser.Reader {
        private final ResponseParser parser = new ResponseParser(this);
        private final WriteQueue out;
        private PendingSend sending;
        private boolean kept;
        private boolean heard;
        private int status;
        private double retryAfter;
        private boolean severed;

        ClientConnection(EndPoint endPoint) {
            super(endPoint, ClientPool.this.loop);
            out = new WriteQueue(endPoint, () -> onFailure(null));
            lines.add(this);
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            lines.remove(this);
        }

        void send(PendingSend next) {
            sending = next;
            next.line = this;
            heard = false;
            if (!getEndPoint().isOpen()) {
                lost();
                return;
            }
            next.wasWritten = true;
            // What it waits is counted from its last byte.
            byte[] message =
                    message(next.submitted, Math.max(0.001, next.submitted.timeout() - next.pause));
            if (next.pause > 0) {
                int half = message.length / 2;
                out.send(ByteBuffer.wrap(message, 0, half));
                loop.schedule(
                        next.pause,
                        () -> {
                            if (sending == next) {
                                out.send(ByteBuffer.wrap(message, half, message.length - half));
                            }
                        });
            } else {
                out.send(ByteBuffer.wrap(message));
            }
        }

        @Override
        protected void onBytes(ByteBuffer in) throws IOException {
            heard = true;
            parser.parse(in);
        }

        @Override
        public void head(int newStatus, Map<String, String> fields) {
            status = newStatus;
            retryAfter = 0;
            String advice = fields.get("retry-after");
            if (advice != null && advice.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                retryAfter = Double.parseDouble(advice);
            }
        }

        @Override
        public void piece(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void end(boolean keepsOpen) {
            PendingSend done = sending;
            sending = null;
            kept = true;
            if (done == null) {
                // An answer that nobody asked for.
                close();
                return;
            }
            open.remove(done.submitted.key());
            done.over = true;
            if (keepsOpen && !done.fresh) {
                idle.addLast(this);
            } else {
                close();
            }
            clients.onResponse(
                    done.submitted,
                    switch (status) {
                        case 200 -> FinalResponse.SUCCEEDED;
                        case 429, 503 -> FinalResponse.REJECTED;
                        default -> FinalResponse.FAILED;
                    },
                    retryAfter);
        }

        @Override
        protected void onEndOfStream() throws IOException {
            close();
            lost();
        }

        @Override
        protected void onFailure(Throwable cause) {
            close();
            lost();
        }

        private void lost() {
            idle.remove(this);
            PendingSend last = sending;
            sending = null;
            if (last == null || last.over) {
                return;
            }
            if (kept && !heard && !severed && !dead) {
                // A dispatcher may close a kept connection as a message crosses that: once more, on
                // a new
                // one.
                // Of a dead one nobody knows what it had read: taken for unread, an alert went out
                // twice.
                last.line = null;
                loop.connect(address, last);
                return;
            }
            last.over = true;
            open.remove(last.submitted.key());
            clients.onConnectionLost(last.submitted);
        }
    }
}
