package wheelroute.kit.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.process.JobCodec;
import wheelroute.kit.process.ServerConnection;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * Any number of workers behind a few addresses: each message is a job that runs for the work that
 * it names.
 */
final class StubWorkers implements EventLoop.ChannelHandler {
    /** More connections than one address has ports for would stand in each other's way. */
    private static final int ADDRESSES = 4;

    private static final double USUAL_WORK = 0.02;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final EventLoop loop;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private int running;

    /** On the loop's thread. */
    StubWorkers(EventLoop loop) throws IOException {
        this.loop = loop;
        for (int i = 0; i < ADDRESSES; i++) {
            addresses.add(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(),
                            loop.listen(
                                            new InetSocketAddress(
                                                    InetAddress.getLoopbackAddress(), 0),
                                            this)
                                    .socket()
                                    .getLocalPort()));
        }
    }

    InetSocketAddress address(int worker) {
        return addresses.get(worker % ADDRESSES);
    }

    /** Jobs that have begun and not ended. */
    int running() {
        return running;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        return new DispatcherConnection(endPoint);
    }

    @Override
    public void onFailed(Throwable cause) {
        // The dispatcher tries again, or tells its client.
    }

    private final class DispatcherConnection extends ServerConnection {
        private EventLoop.Timer job;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubWorkers.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            out.send(HEAD + line(message.id(), "started"));
            running++;
            job =
                    loop.schedule(
                            JobCodec.decode(message, USUAL_WORK).work(),
                            () -> {
                                jobOver();
                                out.send(
                                        line(message.id(), "done\",\"result\":\"fine")
                                                + "0\r\n\r\n");
                            });
        }

        private static String line(String id, String state) {
            String text = "{\"id\":\"" + id + "\",\"from\":\"w\",\"state\":\"" + state + "\"}\n";
            return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
                    + "\r\n"
                    + text
                    + "\r\n";
        }

        private void jobOver() {
            job = null;
            running--;
        }

        @Override
        protected void onClosed() {
            if (job != null) {
                job.cancel();
                jobOver();
            }
        }
    }
}
