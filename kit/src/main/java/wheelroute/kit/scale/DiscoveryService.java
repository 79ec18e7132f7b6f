package wheelroute.kit.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.process.ServerConnection;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * A stub list service with a capacity: it works through calls in turn, and its list changes when it
 * is told so. A change is in force at a dispatcher when that asks for what comes after it: the next
 * call of a watch goes out once the decisions have the list. All on one loop.
 */
final class DiscoveryService {
    private static final Pattern WATCH =
            Pattern.compile("/v1/servers\\?from=(\\d{1,18})&hold_ms=(\\d{1,6})");
    private static final double MILLIS = 1e3;
    private static final double MICROS = 1e6;
    private static final long MOST_MICROS = 3_600_000_000L;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";

    /** Who asks: each kind has an address of its own, so that one can be held against the other. */
    enum Caller {
        REAL,
        HOLLOW
    }

    /** What one kind of caller has asked since the last look. */
    static final class CallStatistics {
        long calls;
        long bytes;

        /** Of changes, in microseconds: from the change until it was in force at one caller. */
        final Histogram inForce = new Histogram(MOST_MICROS, 3);

        void clear() {
            calls = 0;
            bytes = 0;
            inForce.reset();
        }
    }

    private final EventLoop loop;
    private double capacity;
    private final IntFunction<InetSocketAddress> addresses;
    private final int workers;

    /** The workers that changed with each version, from 1 on; the first is the list's beginning. */
    private final List<int[]> log = new ArrayList<>();

    private final List<Double> changedAt = new ArrayList<>();
    private final boolean[] draining;
    private final Set<DispatcherConnection> lines = new HashSet<>();
    private final ServerSocketChannel[] servers = new ServerSocketChannel[Caller.values().length];
    private final InetSocketAddress[] at = new InetSocketAddress[Caller.values().length];
    private final CallStatistics[] accounts = {new CallStatistics(), new CallStatistics()};
    private byte[] whole;
    private double freeAt;
    private int next;

    /**
     * On the loop's thread.
     *
     * @param capacity answers a second
     */
    DiscoveryService(
            EventLoop loop, int workers, double capacity, IntFunction<InetSocketAddress> addresses)
            throws IOException {
        this.loop = loop;
        this.workers = workers;
        this.capacity = capacity;
        this.addresses = addresses;
        draining = new boolean[workers];
        log.add(new int[0]);
        changedAt.add(0.0);
        change(0);
        for (Caller caller : Caller.values()) {
            at[caller.ordinal()] = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        }
        open();
    }

    private void open() throws IOException {
        for (Caller caller : Caller.values()) {
            ServerSocketChannel server =
                    loop.listen(
                            at[caller.ordinal()],
                            new EventLoop.ChannelHandler() {
                                @Override
                                public Connection onOpened(EndPoint endPoint) {
                                    DispatcherConnection line =
                                            new DispatcherConnection(
                                                    endPoint, accounts[caller.ordinal()]);
                                    lines.add(line);
                                    return line;
                                }

                                @Override
                                public void onFailed(Throwable cause) {
                                    // The caller comes again.
                                }
                            });
            servers[caller.ordinal()] = server;
            at[caller.ordinal()] =
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
        }
    }

    InetSocketAddress address(Caller caller) {
        return at[caller.ordinal()];
    }

    CallStatistics account(Caller caller) {
        return accounts[caller.ordinal()];
    }

    /**
     * So many workers, the next in turn, begin or end to drain with one version; the watches are
     * told.
     */
    void change(int many) {
        int[] changed = new int[many];
        for (int i = 0; i < many; i++) {
            changed[i] = next;
            draining[next] = !draining[next];
            next = (next + 1) % workers;
        }
        log.add(changed);
        changedAt.add(loop.now());
        whole = null;
        new ArrayList<>(lines).forEach(DispatcherConnection::lookAgain);
    }

    /** Its process ends: all calls break, and new ones are refused until it is back. */
    void restart(double away) throws IOException {
        for (ServerSocketChannel server : servers) {
            loop.closeListener(server);
        }
        new ArrayList<>(lines).forEach(DispatcherConnection::cut);
        loop.schedule(
                away,
                () -> {
                    try {
                        open();
                    } catch (IOException e) {
                        throw new IllegalStateException("the list service did not come back", e);
                    }
                });
    }

    void capacity(double answersPerSecond) {
        capacity = answersPerSecond;
    }

    int wholeBytes() {
        return whole().length;
    }

    int version() {
        return log.size() - 1;
    }

    /** Everybody that watches has asked for what comes after the newest version. */
    long behind() {
        return lines.stream().filter(line -> line.knows < version()).count();
    }

    int watching() {
        return lines.size();
    }

    private String entry(int worker) {
        InetSocketAddress address = addresses.apply(worker);
        return String.format(
                Locale.ROOT,
                "{\"id\":\"s-%08x\",\"addr\":\"%s:%d\",\"zone\":\"z%d\",\"kind\":"
                        + "\"m%d\",\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
                worker,
                address.getAddress().getHostAddress(),
                address.getPort(),
                worker % 13,
                worker % 3,
                worker % 40,
                draining[worker] ? "draining" : "ready");
    }

    private byte[] json(boolean all, Iterable<Integer> which) {
        StringBuilder json =
                new StringBuilder(
                        "{\"version\":" + version() + ",\"full\":" + all + ",\"servers\":[");
        String comma = "";
        for (int worker : which) {
            json.append(comma).append(entry(worker));
            comma = ",";
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private byte[] whole() {
        if (whole == null) {
            List<Integer> all = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                all.add(i);
            }
            whole = json(true, all);
        }
        return whole;
    }

    private byte[] since(long from) {
        TreeSet<Integer> changed = new TreeSet<>();
        for (int version = (int) from + 1; version <= version(); version++) {
            for (int worker : log.get(version)) {
                changed.add(worker);
            }
        }
        return json(false, changed);
    }

    /** One caller's connection: one call after the other. */
    private final class DispatcherConnection extends ServerConnection {
        private final CallStatistics account;

        /** The newest version that it asked to be told after; -1 before its first call. */
        private long knows = -1;

        private long heldFrom = -1;
        private EventLoop.Timer hold;
        private boolean ended;

        DispatcherConnection(EndPoint endPoint, CallStatistics account) {
            super(endPoint, DiscoveryService.this.loop);
            this.account = account;
        }

        @Override
        protected void onRequest(ClientRequest message) {
            account.calls++;
            Matcher watch = WATCH.matcher(message.target());
            if (!watch.matches()) {
                inTurn(() -> answer(whole()));
                return;
            }
            long from = Math.min(version(), Long.parseLong(watch.group(1)));
            for (long version = knows < 0 ? from + 1 : knows + 1; version <= from; version++) {
                account.inForce.recordValue(
                        Math.min(
                                MOST_MICROS,
                                Math.round(MICROS * (loop.now() - changedAt.get((int) version)))));
            }
            knows = from;
            heldFrom = from;
            hold = loop.schedule(Double.parseDouble(watch.group(2)) / MILLIS, this::answerHeld);
            lookAgain();
        }

        private void lookAgain() {
            if (heldFrom >= 0 && heldFrom < version()) {
                answerHeld();
            }
        }

        private void answerHeld() {
            if (heldFrom >= 0) {
                long from = heldFrom;
                heldFrom = -1;
                hold.cancel();
                inTurn(() -> answer(since(from)));
            }
        }

        private void inTurn(Runnable task) {
            freeAt = Math.max(freeAt, loop.now()) + 1 / capacity;
            loop.schedule(freeAt - loop.now(), task);
        }

        private void answer(byte[] json) {
            if (!ended) {
                byte[] head = (HEAD + json.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
                account.bytes += head.length + json.length;
                out.send(ByteBuffer.wrap(head), ByteBuffer.wrap(json));
            }
        }

        private void cut() {
            closeNow();
        }

        @Override
        protected void onClosed() {
            ended = true;
            lines.remove(this);
            if (hold != null) {
                hold.cancel();
            }
        }
    }
}
