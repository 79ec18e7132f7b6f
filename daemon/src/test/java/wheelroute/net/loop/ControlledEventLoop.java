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
 * An event loop with which a test determines the order of events: connects and reads wait until the
 * test releases them.
 */
public final class ControlledEventLoop extends EventLoop {
    /** The addresses whose connects are held, in their order. */
    public final BlockingQueue<SocketAddress> connecting = new LinkedBlockingQueue<>();

    private final Queue<Runnable> connects = new ConcurrentLinkedQueue<>();
    private final Set<SocketAddress> held = ConcurrentHashMap.newKeySet();
    private final Set<Integer> unread = ConcurrentHashMap.newKeySet();

    /** On all connections together. */
    public final AtomicLong bytesRead = new AtomicLong();

    /** What the next calls to the system end in; null for a call that succeeds. */
    private final Queue<Optional<IOException>> accepts = new ConcurrentLinkedQueue<>();

    private final Queue<Optional<IOException>> beginnings = new ConcurrentLinkedQueue<>();
    private final ManualClock clock;

    public ControlledEventLoop(ManualClock clock, double connectLimit) {
        super(clock, connectLimit);
        this.clock = clock;
    }

    /** Holds connects to these addresses until {@link #releaseAll}. */
    public void holdConnects(Set<? extends SocketAddress> addresses) {
        held.addAll(addresses);
    }

    /** Holds reads from this peer's port, as if nothing had arrived yet. */
    public void holdReads(int port) {
        unread.add(port);
    }

    /** Holds nothing from here on; held connects are made. */
    public void releaseAll() {
        unread.clear();
        releaseConnects();
    }

    /** The same for connects only; reads stay held. */
    public void releaseConnects() {
        held.clear();
        post(
                () -> {
                    for (Runnable next = connects.poll(); next != null; next = connects.poll()) {
                        next.run();
                    }
                });
    }

    /** The next accepts end so, one after the other; empty ones succeed. */
    public void planAccepts(List<Optional<IOException>> results) {
        accepts.addAll(results);
    }

    /** The next connects end so, one after the other; empty ones succeed. */
    public void planConnects(List<Optional<IOException>> results) {
        beginnings.addAll(results);
    }

    private static void failIfPlanned(Queue<Optional<IOException>> plan) throws IOException {
        Optional<IOException> next = plan.poll();
        if (next != null && next.isPresent()) {
            throw next.get();
        }
    }

    @Override
    protected SocketChannel accept(ServerSocketChannel server) throws IOException {
        failIfPlanned(accepts);
        return super.accept(server);
    }

    @Override
    protected boolean beginConnect(SocketChannel channel, SocketAddress address)
            throws IOException {
        failIfPlanned(beginnings);
        return super.beginConnect(channel, address);
    }

    /** Moves the stopped clock on, and returns when all that is due by then has run. */
    public void step(double seconds) throws InterruptedException {
        // What is running completes at the time at which it began.
        settle();
        clock.step(seconds);
        settle();
    }

    /** Returns when all that has arrived has run, with what it has posted. */
    public void settle() throws InterruptedException {
        // Twice: timers run after posted tasks, and what they post runs after that.
        for (int i = 0; i < 2; i++) {
            CountDownLatch done = new CountDownLatch(1);
            post(done::countDown);
            done.await();
        }
    }

    @Override
    public void connect(SocketAddress address, ChannelHandler peer) {
        if (held.contains(address)) {
            connects.add(() -> super.connect(address, peer));
            connecting.add(address);
        } else {
            super.connect(address, peer);
        }
    }

    @Override
    protected EndPoint endPoint(
            SocketChannel channel, ManagedSelector s, SelectionKey key, Scheduler timers) {
        return new SocketChannelEndPoint(channel, s, key, timers) {
            @Override
            public void fillInterested(Callback callback) {
                if (!isHeld(channel)) {
                    super.fillInterested(callback);
                }
            }

            @Override
            public int fill(ByteBuffer buffer) throws IOException {
                int got = super.fill(buffer);
                bytesRead.addAndGet(Math.max(0, got));
                return got;
            }
        };
    }

    private boolean isHeld(SocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress from
                    && unread.contains(from.getPort());
        } catch (IOException e) {
            return false;
        }
    }
}
