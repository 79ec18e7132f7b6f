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
import java.util.ArrayDeque;
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
 * A single thread that serves all sockets, timers and tasks posted by other threads, so that the
 * code that runs on it needs no locks. Methods are for the loop's thread only, unless their
 * descriptions say otherwise.
 *
 * <p>An exception thrown by a task or timer is logged and does not affect other tasks.
 */
public class EventLoop {
    /** The maximum number of bytes that one read returns; large enough for most messages. */
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /**
     * The maximum number of bytes that one read returns on a connection whose memory is limited;
     * large enough for short messages.
     */
    private static final int SMALL_READ_BUFFER_BYTES = 2 * 1024;

    /**
     * Size of the buffer for checking whether a connection is still open. Such a check mostly finds
     * no bytes or the end of the stream.
     */
    private static final int SCRATCH_BUFFER_BYTES = 2 * 1024;

    /**
     * The maximum number of deferred tasks in one pass, so that sockets are served often enough
     * whatever the number of connections.
     */
    private static final int MAX_DEFERRED_PER_PASS = 100;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Creates the connection of a channel, or is notified that the channel could not be opened. */
    public interface ChannelHandler {
        /** Returns the connection that reads from a channel that has just been opened. */
        Connection onOpened(EndPoint endPoint);

        /** Called instead of {@link #onOpened} when the channel could not be opened. */
        void onFailed(Throwable cause);
    }

    /** A timer that can be cancelled. */
    public static final class Timer implements Scheduler.Task {
        /** Time at which the timer is due, in seconds on the loop's clock. */
        final double dueAt;

        /** Number in the order of creation, by which timers due at the same time are ordered. */
        final long sequenceNumber;

        /** Null once the timer has run or has been cancelled. */
        Runnable task;

        private final TimerQueue queue;

        Timer(TimerQueue queue, double dueAt, long sequenceNumber, Runnable task) {
            this.queue = queue;
            this.dueAt = dueAt;
            this.sequenceNumber = sequenceNumber;
            this.task = task;
        }

        @Override
        public boolean cancel() {
            boolean pending = task != null;
            // The timer stays queued for a while. Clearing the task releases what it refers to.
            task = null;
            if (pending) {
                queue.onCancelled();
            }
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
    private final Queue<Runnable> deferred = new ArrayDeque<>();
    private final ByteBuffer readBuffer = BufferUtil.allocateDirect(READ_BUFFER_BYTES);
    private final ByteBuffer smallReadBuffer = BufferUtil.allocateDirect(SMALL_READ_BUFFER_BYTES);
    private final ByteBuffer scratchBuffer = BufferUtil.allocate(SCRATCH_BUFFER_BYTES);
    private final ByteBuffer discardBuffer = BufferUtil.allocateDirect(READ_BUFFER_BYTES);
    private Thread thread;

    /** Null until the first selector pass. */
    private volatile Selector selector;

    /**
     * Creates a loop that is not running yet. May be called on any thread.
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

    /** Starts the loop's thread. Must be called on another thread. */
    public void start() throws Exception {
        manager.start();
    }

    /** Stops the loop and closes all of its sockets. Must be called on another thread. */
    public void stop() throws Exception {
        manager.stop();
    }

    /**
     * Returns the Unix time in seconds by the loop's monotonic clock. May be called on any thread.
     */
    public double now() {
        return clock.now();
    }

    /**
     * Returns the Unix time in seconds by the wall clock, to compare with times of other machines.
     * May be called on any thread.
     */
    public double wallTime() {
        return clock.wallTime();
    }

    /**
     * Runs a task on the loop's thread, after the tasks posted before it. May be called on any
     * thread.
     */
    public void post(Runnable task) {
        posted.add(task);
        Selector current = selector;
        if (current != null && Thread.currentThread() != thread) {
            current.wakeup();
        }
    }

    /** Runs a task once after a delay, unless the returned timer is cancelled before. */
    public Timer schedule(double delaySeconds, Runnable task) {
        return timers.schedule(delaySeconds, task);
    }

    /**
     * Runs a task in a later pass, after sockets have been served. Connections continue with input
     * that they have buffered in such tasks, so that a client that sends at full speed cannot keep
     * the loop from serving others. Tasks keep their order.
     */
    public void defer(Runnable task) {
        deferred.add(task);
    }

    /**
     * Runs all posted tasks, deferred tasks and due timers. Returns the seconds until the next
     * timer is due, or infinity if there is none; 0 if more tasks are waiting.
     */
    double runDue() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            runAndLogException(task);
        }
        int count = Math.min(deferred.size(), MAX_DEFERRED_PER_PASS);
        for (int i = 0; i < count; i++) {
            runAndLogException(deferred.poll());
        }
        double secondsUntilNextTimer = timers.runDue();
        return posted.isEmpty() && deferred.isEmpty() ? secondsUntilNextTimer : 0;
    }

    /**
     * Runs a task and logs its exception, which must not end the thread that serves all sockets.
     */
    static void runAndLogException(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception in event loop task", e);
        }
    }

    /**
     * Runs a task for Jetty. The first task is the selector's loop, for which the thread is
     * started. All later tasks are posted and run by that loop.
     */
    void execute(Runnable task) {
        if (thread == null) {
            thread = new Thread(task, "loop");
            thread.start();
        } else {
            post(task);
        }
    }

    /**
     * Returns the earliest time at which bytes that are read now may have arrived, which is the
     * current time unless the process has been stalled recently; see {@link StallDetector}.
     */
    public double earliestArrival() {
        return stallDetector.earliestArrival();
    }

    /**
     * Returns an empty buffer that all connections share. The bytes read into the buffer must be
     * processed before the next read on any connection.
     */
    public ByteBuffer readBuffer() {
        BufferUtil.clear(readBuffer);
        return readBuffer;
    }

    /**
     * Returns an empty buffer that all connections share like {@link #readBuffer}, for those that
     * must not read much at once.
     */
    public ByteBuffer smallReadBuffer() {
        BufferUtil.clear(smallReadBuffer);
        return smallReadBuffer;
    }

    /**
     * Returns an empty buffer for checking one connection while the bytes of another are still in
     * {@link #readBuffer}.
     */
    public ByteBuffer scratchBuffer() {
        BufferUtil.clear(scratchBuffer);
        return scratchBuffer;
    }

    /**
     * Returns an empty buffer for input that is discarded, which may be used like {@link
     * #scratchBuffer} but is larger.
     */
    public ByteBuffer discardBuffer() {
        BufferUtil.clear(discardBuffer);
        return discardBuffer;
    }

    /**
     * Connects a TCP or Unix socket. The handler is notified of the result, but never before this
     * method returns, because the caller may be processing an event.
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
     * Listens at an address that other processes may share.
     *
     * @param shared whether other processes may listen at the same address, provided that they
     *     share it as well
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

    /** Closes a listening socket immediately; pending connections are reset. */
    public void closeListener(ServerSocketChannel server) throws IOException {
        listeningSockets.close(server);
    }

    /** Accepts the pending connections of a listening socket, then closes the socket. */
    public void drainAndCloseListener(ServerSocketChannel server) {
        listeningSockets.drainAndClose(server);
    }

    /**
     * Opens a datagram socket, which the handler's connection reads.
     *
     * @param shared whether other processes may open a socket at the same address; each process
     *     then receives a part of the datagrams
     * @throws IOException if the address cannot be used
     */
    public DatagramChannel openDatagramChannel(
            InetSocketAddress address, ChannelHandler handler, boolean shared) throws IOException {
        return channelOpener.openDatagramChannel(address, handler, shared);
    }

    /** Creates the end point of a connection. Tests override this method to delay reads. */
    protected EndPoint endPoint(
            SocketChannel channel,
            ManagedSelector managedSelector,
            SelectionKey key,
            Scheduler scheduler) {
        return new SocketChannelEndPoint(channel, managedSelector, key, scheduler);
    }

    /**
     * Starts to connect a channel. Returns whether the connection has been established already.
     * Tests override this method to simulate failures of the operating system.
     */
    protected boolean beginConnect(SocketChannel channel, SocketAddress address)
            throws IOException {
        return channel.connect(address);
    }

    /**
     * Accepts a connection, or returns null if none is pending. Tests override this method to
     * simulate failures of the operating system.
     */
    protected SocketChannel accept(ServerSocketChannel server) throws IOException {
        return server.accept();
    }

    /**
     * Returns the handler for a connection accepted at this local address, or null if its listening
     * socket is closed.
     */
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
