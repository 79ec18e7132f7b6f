package wheelroute.net.loop;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;
import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

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
 * Runs Jetty's selector on a single thread. The executor and the scheduler to which Jetty passes
 * tasks and timers run them on the selector's own thread, which is the thread of the {@link
 * EventLoop}.
 */
final class LoopSelectorManager extends SelectorManager {
    /**
     * The maximum time for which the selector waits in one pass, so that a stall of the process
     * during a wait can be detected. The sum of this time and the threshold of {@link
     * StallDetector} is less than the margin that is subtracted from clients' timeouts.
     */
    private static final double MAX_WAIT_SECONDS = 0.05;

    /**
     * Delay between a failed accept and the next attempt to accept; shorter than the shortest stall
     * that {@link StallDetector} detects.
     */
    static final double ACCEPT_RETRY_DELAY_SECONDS = 0.01;

    private static final Logger LOG = LoggerFactory.getLogger(LoopSelectorManager.class);

    private final EventLoop loop;
    private final StallDetector stallDetector;
    private final AcceptLimiter acceptLimiter = new AcceptLimiter();

    /**
     * Creates a manager that is not started.
     *
     * @param connectTimeoutSeconds the timeout for establishing a connection
     */
    LoopSelectorManager(EventLoop loop, StallDetector stallDetector, double connectTimeoutSeconds) {
        super(loop::execute, new LoopScheduler(loop), 1);
        this.loop = loop;
        this.stallDetector = stallDetector;
        setConnectTimeout((long) (connectTimeoutSeconds * MILLIS_PER_SECOND));
    }

    /** Runs Jetty's idle timeouts and connect timeouts as timers of the event loop. */
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
                return runSelectorPass(selector, now);
            }
        };
    }

    private int runSelectorPass(Selector selector, boolean now) throws IOException {
        loop.setSelector(selector);
        double secondsUntilNextTask = loop.runDue();
        // There is no wait while catching up, since bytes that arrive during a wait would be dated
        // back to the stall.
        double waitSeconds =
                now || stallDetector.isCatchingUp()
                        ? 0
                        : Math.min(secondsUntilNextTask, MAX_WAIT_SECONDS);
        int ready =
                waitSeconds <= 0
                        ? selector.selectNow()
                        : selector.select((long) (waitSeconds * MILLIS_PER_SECOND) + 1);
        stallDetector.onSelected(Math.max(0, waitSeconds), ready, acceptLimiter.endPass());
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
            // The exception is not rethrown, because Jetty would then close the connection that it
            // accepted before this one.
            LOG.warn("failed to accept connection, will retry: {}", e.toString());
            pauseAccepting((ServerSocketChannel) server);
            return null;
        }
    }

    /**
     * Ignores a listening socket for a short time, after which the resources to accept a connection
     * are usually available. Without the pause, the selector would report the socket in each pass
     * and never wait.
     */
    private void pauseAccepting(ServerSocketChannel server) {
        SelectionKey key = server.keyFor(loop.selector());
        if (key == null || !key.isValid()) {
            return;
        }
        key.interestOps(0);
        loop.schedule(
                ACCEPT_RETRY_DELAY_SECONDS,
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
            // The listening socket was closed after it had accepted this connection.
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
