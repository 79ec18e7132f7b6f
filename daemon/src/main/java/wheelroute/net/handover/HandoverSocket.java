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
 * The Unix socket on which a successor finds a process of its dispatcher: a file in a directory
 * that all of the dispatcher's processes share. The file is replaced by each new process. Only for
 * the event loop's thread.
 */
final class HandoverSocket {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverSocket.class);

    /**
     * Distinguishes temporary files if there are several dispatchers in one process, as in tests.
     */
    private static final AtomicInteger LAST_FILE = new AtomicInteger();

    private final EventLoop loop;
    private final Path path;

    /** Null while this process does not listen. */
    private ServerSocketChannel server;

    /** Identifies the file of this process, which another process may have replaced meanwhile. */
    private Object fileKey;

    /**
     * Creates a socket that does not listen; its file name is derived from the dispatcher's name.
     */
    HandoverSocket(EventLoop loop, Path directory, String dispatcherName) {
        this.loop = loop;
        CRC32 crc = new CRC32();
        crc.update(dispatcherName.getBytes(StandardCharsets.UTF_8));
        path =
                directory.resolve(
                        String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    /** Whether there is a file; its process may be running, or may have been killed. */
    boolean exists() {
        return Files.exists(path);
    }

    UnixDomainSocketAddress address() {
        return UnixDomainSocketAddress.of(path);
    }

    boolean isOpen() {
        return server != null;
    }

    /**
     * Listens in place of any other process, or again. A failure is logged. The file is created
     * under a temporary name and then moved, so that at any time there is a file to connect to.
     */
    void open(EventLoop.ChannelHandler handler) {
        // A process id would be the usual suffix, but looking it up slows down the start.
        String suffix =
                "." + Long.toHexString(System.nanoTime()) + "-" + LAST_FILE.incrementAndGet();
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
            LOG.debug("failed to read owner of handover socket file", e);
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
