package wheelroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread on which all is done: sockets, timers and what is posted from outside. Jetty's
 * selector would hand its work to a pool; here its executor and its scheduler both lead back to the
 * selector's own thread, so that nothing above needs a lock and the order of events is the order in
 * which they came.
 */
public class EventLoop {
    /**
     * The largest read at once: most messages come in one, and a client may have one such read
     * ahead.
     */
    private static final int READ_BUFFER = 16 * 1024;

    /** For a look at what has come meanwhile: mostly nothing, or a connection's end. */
    private static final int LOOK_BUFFER = 2 * 1024;

    /** Connections waiting to be accepted: a burst of clients must not be refused by the kernel. */
    private static final int BACKLOG = 512;

    /**
     * The selector waits no longer at a time. What a peer sends while the process stands still is
     * found when it goes on, and a wait without an end would not tell how long that took. With
     * {@link #LATE} it is less than what is kept back of a client's wait for the ways there and
     * back.
     */
    private static final double LONGEST_WAIT = 0.05;

    /** Past what was asked for: a busy machine takes some milliseconds, and they do no harm. */
    private static final double LATE = 0.02;

    /**
     * Until what lay unread has been read: a connection is accepted, registered and read within
     * four.
     */
    private static final int PASSES_TO_READ = 6;

    /** The system tells of so many ready sockets at a time, and of the rest in the next pass. */
    private static final int MOST_READY = 512;

    /**
     * Accepted on one socket in a pass: each has a descriptor before anybody can decide who makes
     * room for it, and what is closed for it keeps its own until the next pass. The rest waits with
     * the system.
     */
    private static final int MOST_ACCEPTS = 4;

    /** Any wait that is not 0 takes the selector through a round. */
    private static final double ROUND = 0.001;

    private static final double MILLIS = 1e3;
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** What a channel is for: it makes the connection, or hears that there will be none. */
    public interface ChannelHandler {
        Connection onOpened(EndPoint endPoint);

        void onFailed(Throwable cause);
    }

    /** A timer; it may be taken back. */
    public static final class Timer implements Scheduler.Task {
        private final double due;
        private final long number;
        private Runnable task;

        private Timer(double due, long number, Runnable task) {
            this.due = due;
            this.number = number;
            this.task = task;
        }

        @Override
        public boolean cancel() {
            boolean pending = task != null;
            // It stays in the heap until due, but must not hold a whole submission there.
            task = null;
            return pending;
        }
    }

    private final Clock clock;
    private final LoopSelectorManager manager;
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Timer t) -> t.due)
                            .thenComparingLong(t -> t.number));
    private final Map<SocketAddress, ChannelHandler> listeners = new HashMap<>();
    private final ByteBuffer readBuffer = BufferUtil.allocateDirect(READ_BUFFER);
    private final ByteBuffer lookBuffer = BufferUtil.allocate(LOOK_BUFFER);

    /** When the selector last returned; before it has, when the loop was made. */
    private double passAt;

    /** For each of the last passes that came late: since when sockets had not been looked at. */
    private final double[] unseenSince = new double[PASSES_TO_READ];

    /** The last to be accepted on, and on it in this pass. */
    private SelectableChannel acceptsOn;

    private int accepts;

    /** Connections waited to be accepted as a pass ended; and so many were since none did. */
    private boolean someWait;

    private int acceptedOfThem;
    private long lastTimer;
    private Thread thread;
    private volatile Selector selector;

    public EventLoop(Clock clock, double connectLimit) {
        this.clock = clock;
        passAt = clock.now();
        Arrays.fill(unseenSince, Double.POSITIVE_INFINITY);
        manager = new LoopSelectorManager();
        manager.setConnectTimeout((long) (connectLimit * MILLIS));
    }

    public void start() throws Exception {
        manager.start();
    }

    public void stop() throws Exception {
        manager.stop();
    }

    public double now() {
        return clock.now();
    }

    /** From any thread. */
    public void post(Runnable task) {
        posted.add(task);
        Selector s = selector;
        if (s != null && Thread.currentThread() != thread) {
            s.wakeup();
        }
    }

    /** From the loop's thread only, as all that follows. */
    public Timer schedule(double delay, Runnable task) {
        Timer timer = new Timer(now() + delay, ++lastTimer, task);
        timers.add(timer);
        return timer;
    }

    /**
     * The earliest time at which what is read now may have come: mostly this moment. After a
     * standstill of the process, whatever for, all that lies unread may be as old as that.
     */
    public double cameAt() {
        double now = now();
        // Also in the middle of a pass: more may be read than the selector told of.
        return Math.min(now - passAt > LATE ? passAt : now, notLookedSince());
    }

    private double notLookedSince() {
        double since = Double.POSITIVE_INFINITY;
        for (double one : unseenSince) {
            since = Math.min(since, one);
        }
        return since;
    }

    /**
     * Empty, and shared by all connections: what a read leaves in it must be used before the next.
     */
    public ByteBuffer readBuffer() {
        BufferUtil.clear(readBuffer);
        return readBuffer;
    }

    /**
     * Empty, and apart from the others: a look at one connection may come while another's bytes are
     * read.
     */
    public ByteBuffer lookBuffer() {
        BufferUtil.clear(lookBuffer);
        return lookBuffer;
    }

    /** Never fails at once: whoever connects may be in the middle of a decision. */
    public void connect(SocketAddress address, ChannelHandler peer) {
        SocketChannel channel = null;
        try {
            boolean local = address instanceof UnixDomainSocketAddress;
            channel =
                    local ? SocketChannel.open(StandardProtocolFamily.UNIX) : SocketChannel.open();
            channel.configureBlocking(false);
            if (!local) {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
            if (channel.connect(address)) {
                manager.accept(channel, peer);
            } else {
                manager.connect(channel, peer);
            }
        } catch (IOException | RuntimeException e) {
            close(channel);
            post(() -> peer.onFailed(e));
        }
    }

    private static void close(SelectableChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            LOG.debug("closing a channel that never opened", e);
        }
    }

    /**
     * Accepts connections for this peer until {@link #unlisten} is called. One loop may listen on
     * many addresses, each for a peer of its own.
     */
    public ServerSocketChannel listen(InetSocketAddress address, ChannelHandler peer)
            throws IOException {
        return listen(address, peer, false);
    }

    /** The same; shared, another process may listen there too, if it wants so as well. */
    public ServerSocketChannel listen(
            InetSocketAddress address, ChannelHandler peer, boolean shared) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        // A restart follows within moments of the last end, under the same address.
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (shared) {
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        accept(server.bind(address, BACKLOG), peer);
        return server;
    }

    /** The same on a Unix socket, whose file must not be there yet. */
    public ServerSocketChannel listen(UnixDomainSocketAddress address, ChannelHandler peer)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            accept(server.bind(address), peer);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        return server;
    }

    private void accept(ServerSocketChannel server, ChannelHandler peer) throws IOException {
        server.configureBlocking(false);
        listeners.put(server.getLocalAddress(), peer);
        manager.acceptor(server);
    }

    /**
     * A socket for datagrams at this address; its peer's connection reads them. Shared, another
     * process may have one there too, and each hears a part of what comes.
     */
    public DatagramChannel datagrams(InetSocketAddress address, ChannelHandler peer, boolean shared)
            throws IOException {
        DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
        try {
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(address);
            channel.configureBlocking(false);
            manager.accept(channel, peer);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        return channel;
    }

    /** Takes no more connections there; those accepted stay. */
    public void unlisten(ServerSocketChannel server) throws IOException {
        if (server.isOpen()) {
            listeners.remove(server.getLocalAddress());
            server.close();
        }
    }

    /**
     * The same without a connection lost: one that waits to be accepted would be reset by the
     * close. The selector holds on to a socket until its next round, in which more could come; so
     * it lets go first.
     */
    public void unlistenEmptied(ServerSocketChannel server) {
        server.keyFor(selector).cancel();
        schedule(ROUND, () -> emptyAndClose(server));
    }

    private void emptyAndClose(ServerSocketChannel server) {
        if (server.isRegistered()) {
            // The round has not been yet: what closes now would be closed only after it.
            schedule(ROUND, () -> emptyAndClose(server));
        } else {
            try {
                for (int i = 0; i < MOST_ACCEPTS; i++) {
                    SocketChannel next = server.accept();
                    if (next == null) {
                        unlisten(server);
                        return;
                    }
                    manager.accepted(next);
                }
                schedule(ROUND, () -> emptyAndClose(server));
            } catch (IOException e) {
                LOG.warn("a listening socket did not close", e);
            }
        }
    }

    /** For tests, which hold back what a connection would tell. */
    protected EndPoint endPoint(
            SocketChannel channel, ManagedSelector s, SelectionKey key, Scheduler timers) {
        return new SocketChannelEndPoint(channel, s, key, timers);
    }

    private ChannelHandler peerAt(SocketAddress accepted) {
        ChannelHandler peer = listeners.get(accepted);
        // Listening on all addresses, it accepts on one of them.
        return peer != null || !(accepted instanceof InetSocketAddress local)
                ? peer
                : listeners.entrySet().stream()
                        .filter(
                                entry ->
                                        entry.getKey() instanceof InetSocketAddress address
                                                && address.getAddress().isAnyLocalAddress()
                                                && address.getPort() == local.getPort())
                        .map(Map.Entry::getValue)
                        .findFirst()
                        .orElse(null);
    }

    /**
     * Guards against taking for new what came while nobody looked: the pass before was long, or
     * stood.
     */
    private void passed(double wait, int ready) {
        double at = now();
        boolean late = at - passAt - wait > LATE;
        // When as many have been accepted as can have waited, those that still wait came later.
        boolean queued = someWait && acceptedOfThem < BACKLOG;
        int last = PASSES_TO_READ - 1;
        if (!queued && (late || ready < MOST_READY)) {
            System.arraycopy(unseenSince, 1, unseenSince, 0, last);
            unseenSince[last] = Double.POSITIVE_INFINITY;
        }
        if (late || queued) {
            unseenSince[last] = Math.min(unseenSince[last], passAt);
        }
        if (!queued) {
            acceptedOfThem = 0;
        }
        acceptsOn = null;
        someWait = false;
        passAt = at;
    }

    private boolean mayAccept(SelectableChannel server) {
        if (server != acceptsOn) {
            acceptsOn = server;
            accepts = 0;
        }
        someWait |= accepts == MOST_ACCEPTS;
        return accepts < MOST_ACCEPTS;
    }

    private double runDue() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            run(task);
        }
        double left = Double.POSITIVE_INFINITY;
        while (!timers.isEmpty()) {
            Timer first = timers.peek();
            left = first.task == null ? 0 : first.due - now();
            if (left > 0) {
                break;
            }
            timers.poll();
            Runnable task = first.task;
            first.task = null;
            if (task != null) {
                run(task);
            }
            left = Double.POSITIVE_INFINITY;
        }
        return posted.isEmpty() ? left : 0;
    }

    /** Guards against one faulty event that ends the thread and with it every submission taken. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.warn("an event failed", e);
        }
    }

    /** Jetty's timers, for idle connections and connects, kept with ours. */
    private final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            return EventLoop.this.schedule(unit.toNanos(delay) / (MILLIS * MILLIS * MILLIS), task);
        }
    }

    private final class LoopSelectorManager extends SelectorManager {
        LoopSelectorManager() {
            super(EventLoop.this::execute, new LoopScheduler(), 1);
        }

        @Override
        protected ManagedSelector newSelector(int id) {
            return new ManagedSelector(this, id) {
                @Override
                protected int nioSelect(Selector s, boolean now) throws IOException {
                    selector = s;
                    double left = runDue();
                    // After a late pass each follows at once: what comes later is not as old as
                    // that.
                    double wait =
                            now || notLookedSince() < Double.POSITIVE_INFINITY
                                    ? 0
                                    : Math.min(left, LONGEST_WAIT);
                    int ready = wait <= 0 ? s.selectNow() : s.select((long) (wait * MILLIS) + 1);
                    passed(Math.max(0, wait), ready);
                    return ready;
                }
            };
        }

        @Override
        protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
            SelectableChannel channel = mayAccept(server) ? super.doAccept(server) : null;
            if (channel != null) {
                accepts++;
                acceptedOfThem++;
            }
            return channel;
        }

        @Override
        protected void accepted(SelectableChannel channel) throws IOException {
            channel.configureBlocking(false);
            SocketAddress local = ((SocketChannel) channel).getLocalAddress();
            if (local instanceof InetSocketAddress) {
                ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
            ChannelHandler peer = peerAt(local);
            if (peer == null) {
                // Accepted in the moment in which its listening ended.
                close(channel);
            } else {
                accept(channel, peer);
            }
        }

        @Override
        protected EndPoint newEndPoint(
                SelectableChannel channel, ManagedSelector s, SelectionKey key) {
            return channel instanceof DatagramChannel datagrams
                    ? new DatagramChannelEndPoint(datagrams, s, key, getScheduler())
                    : endPoint((SocketChannel) channel, s, key, getScheduler());
        }

        @Override
        public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object peer) {
            return ((ChannelHandler) peer).onOpened(endPoint);
        }

        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable cause, Object peer) {
            post(() -> ((ChannelHandler) peer).onFailed(cause));
        }
    }

    /** The first task is the selector's own life; all later ones are run by it. */
    private void execute(Runnable task) {
        if (thread == null) {
            thread = new Thread(task, "loop");
            thread.start();
        } else {
            post(task);
        }
    }
}
