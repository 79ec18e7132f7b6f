package wheelroute.net.loop;

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
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread on which all is done: sockets, timers and what is posted by other threads. So
 * nothing above needs a lock, and the order of events is the order in which they came. Unless a
 * method says otherwise, it is only for the loop's thread.
 */
public class EventLoop {
    /**
     * The largest read at once, in bytes: most messages come in one, and a client may be one such
     * read ahead.
     */
    private static final int READ_BUFFER_SIZE = 16 * 1024;

    /** For a look at what has come meanwhile: mostly nothing, or a connection's end. */
    private static final int PEEK_BUFFER_SIZE = 2 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** What a channel is for: makes its connection, or hears that there will be none. */
    public interface ChannelHandler {
        /** The channel is connected; returns the connection that reads from it. */
        Connection onOpened(EndPoint endPoint);

        /** The channel could not be connected. */
        void onFailed(Throwable cause);
    }

    /** A timer that can be cancelled. */
    public static final class Timer implements Scheduler.Task {
        /** Unix time in seconds. */
        final double due;

        final long number;

        /** Null once it has run or has been cancelled. */
        Runnable task;

        Timer(double due, long number, Runnable task) {
            this.due = due;
            this.number = number;
            this.task = task;
        }

        @Override
        public boolean cancel() {
            boolean pending = task != null;
            // The timer stays queued until due, but must not keep a whole request reachable.
            task = null;
            return pending;
        }
    }

    private final Clock clock;
    private final StallDetector standstill;
    private final LoopSelectorManager manager;
    private final ListeningSockets listeningSockets;
    private final TimerQueue timers;
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = BufferUtil.allocateDirect(READ_BUFFER_SIZE);
    private final ByteBuffer peekBuffer = BufferUtil.allocate(PEEK_BUFFER_SIZE);
    private Thread thread;

    /** Null until the first pass. */
    private volatile Selector selector;

    /**
     * Makes a loop that is not running yet. From any thread.
     *
     * @param connectLimit how long a connection may take to come up, in seconds
     */
    public EventLoop(Clock clock, double connectLimit) {
        this.clock = clock;
        standstill = new StallDetector(clock);
        timers = new TimerQueue(clock);
        manager = new LoopSelectorManager(this, standstill, connectLimit);
        listeningSockets = new ListeningSockets(this, manager);
    }

    /** Starts the loop's thread. From any other thread. */
    public void start() throws Exception {
        manager.start();
    }

    /** Ends the loop and closes all of its sockets. From any other thread. */
    public void stop() throws Exception {
        manager.stop();
    }

    /** Unix time in seconds, by the loop's clock. From any thread. */
    public double now() {
        return clock.now();
    }

    /** The wall clock's reading, in seconds, for times that other machines have written. */
    public double wallTime() {
        return clock.wallTime();
    }

    // ---- tasks

    /** Runs the task on the loop's thread, after those posted before. From any thread. */
    public void post(Runnable task) {
        posted.add(task);
        Selector current = selector;
        if (current != null && Thread.currentThread() != thread) {
            current.wakeup();
        }
    }

    /** Runs the task after a delay in seconds. */
    public Timer schedule(double delay, Runnable task) {
        return timers.schedule(delay, task);
    }

    /** Runs all that is posted or due; returns the seconds until the next timer is. */
    double runDue() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            runIsolated(task);
        }
        double left = timers.runDue();
        return posted.isEmpty() ? left : 0;
    }

    /**
     * A faulty task fails alone: it must not end the thread, and with it all requests in flight.
     */
    static void runIsolated(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception in event loop task", e);
        }
    }

    /** Jetty's executor: the first task is the selector's own loop, which runs all later ones. */
    void execute(Runnable task) {
        if (thread == null) {
            thread = new Thread(task, "loop");
            thread.start();
        } else {
            post(task);
        }
    }

    // ---- reading

    /**
     * The earliest time at which what is read now may have arrived: mostly this moment, but earlier
     * after a standstill of the process.
     */
    public double earliestArrival() {
        return standstill.earliestArrival();
    }

    /**
     * An empty buffer shared by all connections: what a read leaves in it must be used before the
     * next.
     */
    public ByteBuffer readBuffer() {
        BufferUtil.clear(readBuffer);
        return readBuffer;
    }

    /**
     * An empty buffer apart from {@link #readBuffer}: one connection may be checked while another
     * one's bytes are read.
     */
    public ByteBuffer peekBuffer() {
        BufferUtil.clear(peekBuffer);
        return peekBuffer;
    }

    // ---- sockets

    /**
     * Connects a TCP or Unix socket. The handler is never called before this returns: the caller
     * may be in the middle of a decision.
     */
    public void connect(SocketAddress address, ChannelHandler handler) {
        SocketChannel channel = null;
        try {
            boolean local = address instanceof UnixDomainSocketAddress;
            channel =
                    local ? SocketChannel.open(StandardProtocolFamily.UNIX) : SocketChannel.open();
            channel.configureBlocking(false);
            if (!local) {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
            if (beginConnect(channel, address)) {
                manager.accept(channel, handler);
            } else {
                manager.connect(channel, handler);
            }
        } catch (IOException | RuntimeException e) {
            close(channel);
            post(() -> handler.onFailed(e));
        }
    }

    /** Closes a channel that has no connection yet; null is ignored. */
    static void close(SelectableChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            LOG.debug("failed to close unopened channel", e);
        }
    }

    /**
     * Accepts connections for this handler until {@link #closeListener} is called. One loop may
     * listen on many addresses, each with its own handler.
     *
     * @throws IOException if the address cannot be used
     */
    public ServerSocketChannel listen(InetSocketAddress address, ChannelHandler handler)
            throws IOException {
        return listen(address, handler, false);
    }

    /**
     * The same, possibly beside another process.
     *
     * @param shared whether another process may listen at the address too, if it shares it as well
     * @throws IOException if the address cannot be used
     */
    public ServerSocketChannel listen(
            InetSocketAddress address, ChannelHandler handler, boolean shared) throws IOException {
        return listeningSockets.open(address, handler, shared);
    }

    /**
     * The same on a Unix socket, whose file must not exist yet.
     *
     * @throws IOException if the file cannot be made
     */
    public ServerSocketChannel listen(UnixDomainSocketAddress address, ChannelHandler handler)
            throws IOException {
        return listeningSockets.open(address, handler);
    }

    /** Accepts no more connections there; those accepted stay, those that wait are reset. */
    public void closeListener(ServerSocketChannel server) throws IOException {
        listeningSockets.close(server);
    }

    /** The same without a connection lost: those that wait are accepted first. */
    public void drainAndCloseListener(ServerSocketChannel server) {
        listeningSockets.drainAndClose(server);
    }

    /**
     * Opens a socket for datagrams, which the handler's connection reads.
     *
     * @param shared whether another process may have one at the address too; each then receives a
     *     part of what is sent there
     * @throws IOException if the address cannot be used
     */
    public DatagramChannel openDatagramChannel(
            InetSocketAddress address, ChannelHandler handler, boolean shared) throws IOException {
        DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
        try {
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(address);
            channel.configureBlocking(false);
            manager.accept(channel, handler);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        return channel;
    }

    // ---- for the selector manager

    /** Makes the end point of a connection; tests override it to hold back what arrives. */
    protected EndPoint endPoint(
            SocketChannel channel,
            ManagedSelector managedSelector,
            SelectionKey key,
            Scheduler scheduler) {
        return new SocketChannelEndPoint(channel, managedSelector, key, scheduler);
    }

    /** Begins to connect; tests override it to fail as the system may. */
    protected boolean beginConnect(SocketChannel channel, SocketAddress address)
            throws IOException {
        return channel.connect(address);
    }

    /** Accepts a connection, null for none; tests override it to fail as the system may. */
    protected SocketChannel accept(ServerSocketChannel server) throws IOException {
        return server.accept();
    }

    /** Null if the listening socket is closed. */
    ChannelHandler handlerFor(SocketAddress local) {
        return listeningSockets.handlerFor(local);
    }

    Selector selector() {
        return selector;
    }

    void setSelector(Selector current) {
        selector = current;
    }
}
