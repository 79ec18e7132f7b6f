package wheelroute.net.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
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
 * A single thread that serves all sockets, timers and tasks posted by other threads, so that no
 * code above it needs a lock. Unless a method says otherwise, it is only for the loop's thread.
 *
 * <p>An exception of a task or timer is logged and affects no other task.
 */
public class EventLoop {
    /** The most that one read returns; large enough for most messages. */
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** For checks of a connection, which mostly find nothing, or the end of the stream. */
    private static final int PEEK_BUFFER_BYTES = 2 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Creates the connection of a channel, or is notified that the channel could not be opened. */
    public interface ChannelHandler {
        /** Returns the connection that reads from a channel that has just been connected. */
        Connection onOpened(EndPoint endPoint);

        /** The channel could not be connected. */
        void onFailed(Throwable cause);
    }

    /** A timer that can be cancelled. */
    public static final class Timer implements Scheduler.Task {
        /** On the loop's clock, in seconds. */
        final double dueAt;

        /** Orders timers that are due at the same time by their creation. */
        final long number;

        /** Null once the timer has run or has been cancelled. */
        Runnable task;

        Timer(double dueAt, long number, Runnable task) {
            this.dueAt = dueAt;
            this.number = number;
            this.task = task;
        }

        @Override
        public boolean cancel() {
            boolean pending = task != null;
            // The timer stays queued until it is due, but must not keep what its task refers to.
            task = null;
            return pending;
        }
    }

    private final Clock clock;
    private final StallDetector stallDetector;
    private final LoopSelectorManager manager;
    private final ChannelOpener channelOpener;
    private final ListeningSockets listeningSockets;
    private final TimerQueue timers;
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = BufferUtil.allocateDirect(READ_BUFFER_BYTES);
    private final ByteBuffer peekBuffer = BufferUtil.allocate(PEEK_BUFFER_BYTES);
    private Thread thread;

    /** Null until the first pass of the selector. */
    private volatile Selector selector;

    /**
     * Creates a loop that is not running yet. From any thread.
     *
     * @param connectTimeoutSeconds the timeout for establishing a connection
     */
    public EventLoop(Clock clock, double connectTimeoutSeconds) {
        this.clock = clock;
        stallDetector = new StallDetector(clock);
        timers = new TimerQueue(clock);
        manager = new LoopSelectorManager(this, stallDetector, connectTimeoutSeconds);
        channelOpener = new ChannelOpener(this, manager);
        listeningSockets = new ListeningSockets(this, manager);
    }

    /** Starts the loop's thread. For other threads only. */
    public void start() throws Exception {
        manager.start();
    }

    /** Stops the loop and closes all of its sockets. For other threads only. */
    public void stop() throws Exception {
        manager.stop();
    }

    /** Returns the Unix time in seconds by the loop's monotonic clock. From any thread. */
    public double now() {
        return clock.now();
    }

    /**
     * Returns the Unix time in seconds by the wall clock, to compare with times of other machines.
     * From any thread.
     */
    public double wallTime() {
        return clock.wallTime();
    }

    // ---- tasks

    /** Runs a task on the loop's thread, after those posted before it. From any thread. */
    public void post(Runnable task) {
        posted.add(task);
        Selector current = selector;
        if (current != null && Thread.currentThread() != thread) {
            current.wakeup();
        }
    }

    /** Runs a task after a delay. */
    public Timer schedule(double delaySeconds, Runnable task) {
        return timers.schedule(delaySeconds, task);
    }

    /** Runs all posted tasks and due timers; returns the seconds until the next timer is due. */
    double runDue() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            runIsolated(task);
        }
        double untilNextTimer = timers.runDue();
        return posted.isEmpty() ? untilNextTimer : 0;
    }

    /** Runs a task; its exception must not end the thread, which serves all requests. */
    static void runIsolated(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception in event loop task", e);
        }
    }

    /**
     * Runs a task for Jetty. The first one is the selector's loop, for which the thread is started;
     * it runs all later ones, which are posted.
     */
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
     * Returns the earliest time at which bytes that are read now may have arrived. This is the
     * current time, unless the process has been stalled recently; see {@link StallDetector}.
     */
    public double earliestArrival() {
        return stallDetector.earliestArrival();
    }

    /**
     * Returns an empty buffer that all connections share: its content must be used before the next
     * read on any of them.
     */
    public ByteBuffer readBuffer() {
        BufferUtil.clear(readBuffer);
        return readBuffer;
    }

    /**
     * Returns an empty buffer for checking one connection while the bytes of another are still in
     * {@link #readBuffer}.
     */
    public ByteBuffer peekBuffer() {
        BufferUtil.clear(peekBuffer);
        return peekBuffer;
    }

    // ---- sockets

    /**
     * Connects a TCP or Unix socket. The handler is notified of the result, but never before this
     * returns, because the caller may be processing an event.
     */
    public void connect(SocketAddress address, ChannelHandler handler) {
        channelOpener.connect(address, handler);
    }

    /** Closes a channel that has no connection yet; does nothing for null. */
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
     * Listens at an address and accepts connections for a handler, until {@link #closeListener} is
     * called. One loop may listen at many addresses, each with its own handler.
     *
     * @throws IOException if the address cannot be used
     */
    public ServerSocketChannel listen(InetSocketAddress address, ChannelHandler handler)
            throws IOException {
        return listen(address, handler, false);
    }

    /**
     * Listens at an address, possibly together with another process.
     *
     * @param shared whether another process may listen at the address too, if it also shares it
     * @throws IOException if the address cannot be used
     */
    public ServerSocketChannel listen(
            InetSocketAddress address, ChannelHandler handler, boolean shared) throws IOException {
        return listeningSockets.open(address, handler, shared);
    }

    /**
     * Listens on a Unix socket, whose file must not exist yet.
     *
     * @throws IOException if the file cannot be created
     */
    public ServerSocketChannel listen(UnixDomainSocketAddress address, ChannelHandler handler)
            throws IOException {
        return listeningSockets.open(address, handler);
    }

    /** Closes a listening socket; connections that wait to be accepted are reset. */
    public void closeListener(ServerSocketChannel server) throws IOException {
        listeningSockets.close(server);
    }

    /** Accepts the connections that wait on a listening socket, then closes it. */
    public void drainAndCloseListener(ServerSocketChannel server) {
        listeningSockets.drainAndClose(server);
    }

    /**
     * Opens a datagram socket, which the handler's connection reads.
     *
     * @param shared whether another process may open one at the address too; each process then
     *     receives a part of the datagrams
     * @throws IOException if the address cannot be used
     */
    public DatagramChannel openDatagramChannel(
            InetSocketAddress address, ChannelHandler handler, boolean shared) throws IOException {
        return channelOpener.openDatagramChannel(address, handler, shared);
    }

    // ---- for the selector manager

    /** Creates the end point of a connection; tests override it to delay reads. */
    protected EndPoint endPoint(
            SocketChannel channel,
            ManagedSelector managedSelector,
            SelectionKey key,
            Scheduler scheduler) {
        return new SocketChannelEndPoint(channel, managedSelector, key, scheduler);
    }

    /** Starts to connect; tests override it to simulate failures of the system. */
    protected boolean beginConnect(SocketChannel channel, SocketAddress address)
            throws IOException {
        return channel.connect(address);
    }

    /** Accepts a connection, or returns null; tests override it to simulate failures. */
    protected SocketChannel accept(ServerSocketChannel server) throws IOException {
        return server.accept();
    }

    /** Returns the handler of a listening socket, or null if the socket is closed. */
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
