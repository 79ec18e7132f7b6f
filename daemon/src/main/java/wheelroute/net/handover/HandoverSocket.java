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
 * The Unix socket on which the processes of one dispatcher find each other: a file in a directory
 * that they share, which belongs to the newest of them. Only for the event loop's thread.
 */
final class HandoverSocket {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverSocket.class);

    /** Keeps the files of one process apart, as in tests. */
    private static final AtomicInteger LAST_FILE = new AtomicInteger();

    private final EventLoop loop;
    private final Path path;

    /** Null while this process does not listen. */
    private ServerSocketChannel server;

    /** Identifies this process's file: another one's may stand at the same path by now. */
    private Object fileKey;

    /** Opens nothing yet; the file's name follows from the dispatcher's name. */
    HandoverSocket(EventLoop loop, Path directory, String dispatcherName) {
        this.loop = loop;
        CRC32 crc = new CRC32();
        crc.update(dispatcherName.getBytes(StandardCharsets.UTF_8));
        path =
                directory.resolve(
                        String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    /** Whether there is a file, of a process that runs or of one that was killed. */
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
     * Listens in place of any other process, or anew. A failure is logged only. The file is made
     * under a name of its own and then moved: at each moment there is either the old one or the new
     * one.
     */
    void open(EventLoop.ChannelHandler handler) {
        // Asking the system for the process's id costs a start more than all the rest of this.
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

    /** Stops listening and deletes the file, unless it is another process's by now. */
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
