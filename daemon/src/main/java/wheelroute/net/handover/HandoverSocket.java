package wheelroute.net.handover;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;

/**
 * The Unix domain socket through which a successor process connects to this process. The socket
 * file is in a directory that all processes of a dispatcher share, and each new process replaces
 * it. Confined to the event loop's thread.
 */
final class HandoverSocket {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverSocket.class);

    /**
     * Number of the last temporary file, which keeps the names of temporary files apart if one
     * operating-system process runs several dispatchers, as in tests.
     */
    private static final AtomicInteger LAST_FILE_NUMBER = new AtomicInteger();

    private final EventLoop loop;
    private final Path path;

    /** The listening channel; null while this process does not listen. */
    private ServerSocketChannel server;

    /**
     * Identifies the socket file that this process has created. Another process may have replaced
     * the file since.
     */
    private Object fileKey;

    /**
     * Creates a socket that does not listen yet. The file name is derived from the dispatcher's
     * name.
     */
    HandoverSocket(EventLoop loop, Path directory, String dispatcherName) {
        this.loop = loop;
        CRC32 crc = new CRC32();
        crc.update(dispatcherName.getBytes(StandardCharsets.UTF_8));
        path =
                directory.resolve(
                        String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    /**
     * Returns whether a socket file exists. The process that created the file may be running, or
     * may have been killed.
     */
    boolean exists() {
        return Files.exists(path);
    }

    UnixDomainSocketAddress address() {
        return UnixDomainSocketAddress.of(path);
    }

    /** Returns whether this process listens. */
    boolean isOpen() {
        return server != null;
    }

    /**
     * Starts to listen, in place of any other process or of an earlier socket of this process. A
     * failure is only logged. The socket file is created under a temporary name and then moved, so
     * that there is always a file to connect to.
     */
    void open(EventLoop.ChannelHandler handler) {
        // The process id would be the usual suffix, but its lookup slows down the start.
        String suffix =
                "."
                        + Long.toHexString(System.nanoTime())
                        + "-"
                        + LAST_FILE_NUMBER.incrementAndGet();
        Path temporary = path.resolveSibling(path.getFileName() + suffix);
        try {
            stopListening();
            server = loop.listen(UnixDomainSocketAddress.of(temporary), handler);
            Files.setPosixFilePermissions(temporary, PosixFilePermissions.fromString("rw-------"));
            fileKey = keyOf(temporary);
            Files.move(
                    temporary,
                    path,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException | RuntimeException e) {
            LOG.warn(
                    "handover socket not created, a successor cannot find this process: {}",
                    e.toString());
            stopListening();
            delete(temporary);
        }
    }

    /** Stops listening and deletes the file, unless another process has replaced it. */
    void close() {
        try {
            if (server != null && Files.exists(path) && keyOf(path).equals(fileKey)) {
                delete(path);
            }
        } catch (IOException e) {
            LOG.debug("failed to read file key of handover socket file", e);
        }
        stopListening();
    }

    private void stopListening() {
        try {
            if (server != null) {
                loop.closeListener(server);
            }
        } catch (IOException e) {
            LOG.debug("failed to close handover socket", e);
        }
        server = null;
    }

    private static Object keyOf(Path file) throws IOException {
        return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            LOG.debug("failed to delete handover socket file", e);
        }
    }
}
