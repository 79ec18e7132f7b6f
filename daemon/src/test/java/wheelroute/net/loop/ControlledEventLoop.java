package wheelroute.net.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An event loop with which a test controls the order of events. The test can hold connects and
 * reads until it releases them, and can make system calls fail. Methods are for the test's thread,
 * unless their descriptions say otherwise.
 */
public final class ControlledEventLoop extends EventLoop {
    /** The addresses whose connects have been held, in order. */
    public final BlockingQueue<SocketAddress> connecting = new LinkedBlockingQueue<>();

    private final Queue<Runnable> heldConnects = new ConcurrentLinkedQueue<>();
    private final Set<SocketAddress> heldAddresses = ConcurrentHashMap.newKeySet();
    private final Set<Integer> heldReadPorts = ConcurrentHashMap.newKeySet();

    /** Total number of bytes read on all connections. */
    public final AtomicLong bytesRead = new AtomicLong();

    /** The results of the next accepts, empty for success. All later accepts succeed. */
    private final Queue<Optional<IOException>> acceptResults = new ConcurrentLinkedQueue<>();

    /** The results of the next connects, empty for success. All later connects succeed. */
    private final Queue<Optional<IOException>> connectResults = new ConcurrentLinkedQueue<>();

    private final ManualClock clock;

    public ControlledEventLoop(ManualClock clock, double connectTimeoutSeconds) {
        super(clock, connectTimeoutSeconds);
        this.clock = clock;
    }

    /** Holds connects to these addresses until {@link #releaseAll}. */
    public void holdConnects(Set<? extends SocketAddress> addresses) {
        heldAddresses.addAll(addresses);
    }

    /** Holds reads from the peer with this port, as if no bytes had arrived. */
    public void holdReads(int port) {
        heldReadPorts.add(port);
    }

    /** Releases all connects and reads, and holds none from now on. */
    public void releaseAll() {
        heldReadPorts.clear();
        releaseConnects();
    }

    /** Releases all connects, and holds none from now on; reads stay held. */
    public void releaseConnects() {
        heldAddresses.clear();
        post(
                () -> {
                    for (Runnable next = heldConnects.poll();
                            next != null;
                            next = heldConnects.poll()) {
                        next.run();
                    }
                });
    }

    /** Sets the results of the next accepts, in order; an empty result is a success. */
    public void planAccepts(List<Optional<IOException>> results) {
        acceptResults.addAll(results);
    }

    /** Sets the results of the next connects, in order; an empty result is a success. */
    public void planConnects(List<Optional<IOException>> results) {
        connectResults.addAll(results);
    }

    private static void failIfPlanned(Queue<Optional<IOException>> plan) throws IOException {
        Optional<IOException> next = plan.poll();
        if (next != null && next.isPresent()) {
            throw next.get();
        }
    }

    @Override
    protected SocketChannel accept(ServerSocketChannel server) throws IOException {
        failIfPlanned(acceptResults);
        return super.accept(server);
    }

    @Override
    protected boolean beginConnect(SocketChannel channel, SocketAddress address)
            throws IOException {
        failIfPlanned(connectResults);
        return super.beginConnect(channel, address);
    }

    /** Advances the stopped clock; returns when all tasks and timers due by then have run. */
    public void advance(double seconds) throws InterruptedException {
        // Tasks that have already been posted run before the clock advances.
        awaitPendingTasks();
        clock.advance(seconds);
        awaitPendingTasks();
    }

    /** Returns when all posted tasks and due timers have run, including the tasks they post. */
    public void awaitPendingTasks() throws InterruptedException {
        // The wait is for a timer, because tasks that are posted meanwhile run before any timer.
        // The wait is repeated once, because timers may post tasks.
        for (int i = 0; i < 2; i++) {
            CountDownLatch done = new CountDownLatch(1);
            post(() -> schedule(0, done::countDown));
            done.await();
        }
    }

    @Override
    public void connect(SocketAddress address, ChannelHandler handler) {
        if (heldAddresses.contains(address)) {
            heldConnects.add(() -> super.connect(address, handler));
            connecting.add(address);
        } else {
            super.connect(address, handler);
        }
    }

    @Override
    protected EndPoint endPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        return new SocketChannelEndPoint(channel, selector, key, scheduler) {
            @Override
            public void fillInterested(Callback callback) {
                if (!isReadHeld(channel)) {
                    super.fillInterested(callback);
                }
            }

            @Override
            public int fill(ByteBuffer buffer) throws IOException {
                int count = super.fill(buffer);
                bytesRead.addAndGet(Math.max(0, count));
                return count;
            }
        };
    }

    private boolean isReadHeld(SocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress from
                    && heldReadPorts.contains(from.getPort());
        } catch (IOException e) {
            return false;
        }
    }
}
