package wheelroute.kit.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.process.JobCodec;
import wheelroute.kit.process.Loopback;
import wheelroute.kit.process.ServerConnection;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * Stub of any number of workers, which share a few addresses. Each request succeeds after the time
 * that the request specifies, regardless of the number in flight. Used on the event loop's thread.
 */
final class StubWorkers implements EventLoop.ChannelHandler {
    /** Number of addresses; connections to a single one could exhaust the client ports. */
    private static final int ADDRESSES = 4;

    /** Duration of a request that does not specify one. */
    private static final double DEFAULT_WORK_SECONDS = 0.02;

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final EventLoop loop;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private int requestsInFlight;

    /** Starts to listen on loopback ports chosen by the system. */
    StubWorkers(EventLoop loop) throws IOException {
        this.loop = loop;
        for (int i = 0; i < ADDRESSES; i++) {
            int port = loop.listen(Loopback.anyPort(), this).socket().getLocalPort();
            addresses.add(Loopback.address(port));
        }
    }

    /** Returns the address of the worker with this number; several workers share an address. */
    InetSocketAddress address(int worker) {
        return addresses.get(worker % ADDRESSES);
    }

    int requestsInFlight() {
        return requestsInFlight;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        return new DispatcherConnection(endPoint);
    }

    @Override
    public void onFailed(Throwable cause) {
        // No handling is needed, because the dispatcher retries or answers its client.
    }

    private final class DispatcherConnection extends ServerConnection {
        /** Timer of the response to the running request; null while no request is running. */
        private EventLoop.Timer completion;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubWorkers.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            out.send(RESPONSE_HEAD + chunk(message.id(), "\"state\":\"started\""));
            requestsInFlight++;
            completion =
                    loop.schedule(
                            JobCodec.decode(message, DEFAULT_WORK_SECONDS).work(),
                            () -> {
                                onRequestEnded();
                                out.send(
                                        chunk(
                                                        message.id(),
                                                        "\"state\":\"done\",\"result\":\"fine\"")
                                                + "0\r\n\r\n");
                            });
        }

        private static String chunk(String id, String fields) {
            String text = "{\"id\":\"" + id + "\",\"from\":\"w\"," + fields + "}\n";
            return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
                    + "\r\n"
                    + text
                    + "\r\n";
        }

        private void onRequestEnded() {
            completion = null;
            requestsInFlight--;
        }

        @Override
        protected void onClosed() {
            if (completion != null) {
                completion.cancel();
                onRequestEnded();
            }
        }
    }
}
