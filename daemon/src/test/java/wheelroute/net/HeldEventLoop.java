package wheelroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
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
 * A loop that lets a test say in which order things happen: what would come at any time waits until
 * told.
 */
final class HeldEventLoop extends EventLoop {
    /** The connections that wait to be made, in their order. */
    final BlockingQueue<SocketAddress> connecting = new LinkedBlockingQueue<>();

    private final Queue<Runnable> connects = new ConcurrentLinkedQueue<>();
    private final Set<SocketAddress> held = ConcurrentHashMap.newKeySet();
    private final Set<Integer> unread = ConcurrentHashMap.newKeySet();

    /** On all connections. */
    final AtomicLong bytesRead = new AtomicLong();

    private final StepClock clock;

    HeldEventLoop(StepClock clock, double connectLimit) {
        super(clock, connectLimit);
        this.clock = clock;
    }

    /** Connections to these are not made until {@link #goOn}. */
    void holdConnects(Set<? extends SocketAddress> addresses) {
        held.addAll(addresses);
    }

    /** What comes from this port next is not heard of, as if it had come this moment only. */
    void holdReads(int port) {
        unread.add(port);
    }

    /** Nothing is held from here on; what waited for a connection gets it. */
    void goOn() {
        unread.clear();
        goOnConnecting();
    }

    /** The same for connections only. */
    void goOnConnecting() {
        held.clear();
        post(
                () -> {
                    for (Runnable next = connects.poll(); next != null; next = connects.poll()) {
                        next.run();
                    }
                });
    }

    /**
     * Lets so much time pass while the clock is stopped, and returns when what it made due has been
     * done.
     */
    void step(double seconds) throws InterruptedException {
        // What is being done is done at the time at which it began.
        settle();
        clock.step(seconds);
        settle();
    }

    /** Returns when what has come so far has been done, with what followed from it at once. */
    void settle() throws InterruptedException {
        // Twice: what is due comes after what is posted, and what follows from it after that.
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
