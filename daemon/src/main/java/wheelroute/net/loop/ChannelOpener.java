package wheelroute.net.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SocketChannel;

/**
 * Opens the channels of one event loop other than listening sockets and accepted connections, which
 * are outgoing connections and datagram sockets. Used on the event loop's thread only.
 */
final class ChannelOpener {
    private final EventLoop loop;
    private final LoopSelectorManager manager;

    ChannelOpener(EventLoop loop, LoopSelectorManager manager) {
        this.loop = loop;
        this.manager = manager;
    }

    /** Connects a TCP or Unix socket, see {@link EventLoop#connect}. */
    void connect(SocketAddress address, EventLoop.ChannelHandler handler) {
        SocketChannel channel = null;
        try {
            channel = openNonBlocking(address);
            if (loop.beginConnect(channel, address)) {
                manager.accept(channel, handler);
            } else {
                manager.connect(channel, handler);
            }
        } catch (IOException | RuntimeException e) {
            // Some unusable addresses, e.g. unresolved ones, are reported by runtime exceptions.
            EventLoop.close(channel);
            loop.post(() -> handler.onFailed(e));
        }
    }

    private static SocketChannel openNonBlocking(SocketAddress address) throws IOException {
        boolean isUnix = address instanceof UnixDomainSocketAddress;
        SocketChannel channel =
                isUnix ? SocketChannel.open(StandardProtocolFamily.UNIX) : SocketChannel.open();
        try {
            channel.configureBlocking(false);
            if (!isUnix) {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
        } catch (IOException | RuntimeException e) {
            EventLoop.close(channel);
            throw e;
        }
        return channel;
    }

    /** Opens a datagram socket, see {@link EventLoop#openDatagramChannel}. */
    DatagramChannel openDatagramChannel(
            InetSocketAddress address, EventLoop.ChannelHandler handler, boolean shared)
            throws IOException {
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
}
