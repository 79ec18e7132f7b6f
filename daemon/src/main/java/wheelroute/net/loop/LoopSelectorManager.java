package wheelroute.net.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jetty's selector on one thread. Jetty would hand its work to a pool; here its executor and its
 * scheduler both lead back to the selector's own thread, on which the {@link EventLoop} runs.
 */
final class LoopSelectorManager extends SelectorManager {
    /**
     * The selector waits no longer than this at a time, in seconds. What a peer sends while the
     * process stands still is found when it goes on, and a wait without a limit would not tell how
     * long that took. With the threshold of {@link StallDetector} it is less than what is kept back
     * of a client's timeout for the network.
     */
    private static final double MAX_WAIT = 0.05;

    /** Seconds after an accept that failed: less than a process may stand still unnoticed. */
    static final double ACCEPT_RETRY_DELAY = 0.01;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final Logger LOG = LoggerFactory.getLogger(LoopSelectorManager.class);

    private final EventLoop loop;
    private final StallDetector standstill;
    private final AcceptLimiter acceptLimiter = new AcceptLimiter();

    /**
     * Makes a manager that is not started.
     *
     * @param connectTimeoutSeconds in seconds
     */
    LoopSelectorManager(EventLoop loop, StallDetector standstill, double connectTimeoutSeconds) {
        super(loop::execute, new LoopScheduler(loop), 1);
        this.loop = loop;
        this.standstill = standstill;
        setConnectTimeout((long) (connectTimeoutSeconds * MILLIS_PER_SECOND));
    }

    /** Jetty's timers, for idle connections and connects, kept with the loop's. */
    private static final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
        private final EventLoop loop;

        LoopScheduler(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            return loop.schedule(unit.toNanos(delay) / NANOS_PER_SECOND, task);
        }
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        return new ManagedSelector(this, id) {
            @Override
            protected int nioSelect(Selector selector, boolean now) throws IOException {
                return runPass(selector, now);
            }
        };
    }

    private int runPass(Selector selector, boolean now) throws IOException {
        loop.setSelector(selector);
        double untilNextTask = loop.runDue();
        // After a late pass each follows at once: what arrives later is not as old as that.
        double wait = now || standstill.isCatchingUp() ? 0 : Math.min(untilNextTask, MAX_WAIT);
        int ready =
                wait <= 0
                        ? selector.selectNow()
                        : selector.select((long) (wait * MILLIS_PER_SECOND) + 1);
        standstill.onSelected(Math.max(0, wait), ready, acceptLimiter.endPass());
        return ready;
    }

    @Override
    protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
        if (!acceptLimiter.mayAccept(server)) {
            return null;
        }
        try {
            SelectableChannel channel = loop.accept((ServerSocketChannel) server);
            if (channel != null) {
                acceptLimiter.onAccepted();
            }
            return channel;
        } catch (IOException e) {
            // Jetty would close the connection that it accepted before this one in the same pass.
            LOG.warn("failed to accept connection, will retry: {}", e.toString());
            pauseAccepting((ServerSocketChannel) server);
            return null;
        }
    }

    /** What lacks is mostly there a moment later; until then the selector would not wait at all. */
    private void pauseAccepting(ServerSocketChannel server) {
        SelectionKey key = server.keyFor(loop.selector());
        if (key == null || !key.isValid()) {
            return;
        }
        key.interestOps(0);
        loop.schedule(
                ACCEPT_RETRY_DELAY,
                () -> {
                    if (key.isValid()) {
                        key.interestOps(SelectionKey.OP_ACCEPT);
                    }
                });
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        channel.configureBlocking(false);
        SocketAddress local = ((SocketChannel) channel).getLocalAddress();
        if (local instanceof InetSocketAddress) {
            ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
        EventLoop.ChannelHandler handler = loop.handlerFor(local);
        if (handler == null) {
            // Accepted at the moment at which its listening socket was closed.
            EventLoop.close(channel);
        } else {
            accept(channel, handler);
        }
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return channel instanceof DatagramChannel datagrams
                ? new DatagramChannelEndPoint(datagrams, selector, key, getScheduler())
                : loop.endPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object handler) {
        return ((EventLoop.ChannelHandler) handler).onOpened(endPoint);
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object handler) {
        loop.post(() -> ((EventLoop.ChannelHandler) handler).onFailed(cause));
    }
}
