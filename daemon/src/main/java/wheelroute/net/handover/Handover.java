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
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.EventLoop;

/**
 * This process among the others of the same dispatcher: the one whose place it takes, and the one
 * that takes its own. They meet on a Unix socket in a directory that they share;
 * docs/design/handover.md has the words.
 */
public final class Handover implements NeighborProcess.Listener {
    /** What this process knows, to be told to the next, and what it is told by the one before. */
    public interface TransferableState {
        /** The list as last told, in discovery's form; null for none. */
        String exportEndpoints();

        String exportLearnedState();

        Iterable<String> openRequestIds();

        void importEndpoints(byte[] list) throws IOException;

        void importLearnedState(byte[] learned) throws IOException;
    }

    /** What follows for this process. */
    public interface Listener {
        /** All is told that will be told: clients may be listened to. */
        void onStateTransferred();

        /** Others have come, spoken or gone: see {@link #processes} and {@link #hasSuccessor}. */
        void onProcessesChanged();
    }

    /** The listening socket, a neighbour on either side, and one that is being greeted. */
    public static final int DESCRIPTORS = 4;

    /**
     * What a predecessor has not told by then is done without: it may be stuck, or of another kind.
     */
    private static final double PATIENCE = 0.5;

    /** Well before anybody could have begun to replace a process that has just begun itself. */
    private static final double SOON = 0.05;

    private static final String GREETING = "wheelroute-handover";

    /** No two files of one process may have one name. */
    private static final AtomicInteger ANNOUNCED = new AtomicInteger();

    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

    private final EventLoop loop;
    private final Path path;
    private final String name;
    private final TransferableState knowledge;
    private final Listener hearer;
    private final ProcessChain places = new ProcessChain();
    private final Map<ProcessChain.Role, NeighborProcess> neighbours =
            new EnumMap<>(ProcessChain.Role.class);
    private ServerSocketChannel server;
    private boolean waiting;
    private boolean serving;

    /** By which the file that stands there is known as ours. */
    private Object fileKey;

    /**
     * Of one dispatcher, by its name and its clients' address, in a directory that its processes
     * share.
     */
    public Handover(
            EventLoop loop,
            Path directory,
            String name,
            TransferableState knowledge,
            Listener hearer) {
        this.loop = loop;
        this.knowledge = knowledge;
        this.hearer = hearer;
        this.name = name;
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        path =
                directory.resolve(
                        String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    /**
     * Asks a predecessor for what it knows, if there is one; {@link Listener#onStateTransferred}
     * follows in any case.
     */
    public void begin() {
        waiting = true;
        if (!Files.exists(path)) {
            // Nobody has ever been there: clients need not wait for what it takes to ask.
            told();
            return;
        }
        loop.connect(
                UnixDomainSocketAddress.of(path),
                new EventLoop.ChannelHandler() {
                    @Override
                    public Connection onOpened(EndPoint endPoint) {
                        NeighborProcess neighbour =
                                new NeighborProcess(
                                        endPoint,
                                        loop,
                                        ProcessChain.Role.PREDECESSOR,
                                        Handover.this);
                        neighbours.put(ProcessChain.Role.PREDECESSOR, neighbour);
                        return neighbour;
                    }

                    @Override
                    public void onFailed(Throwable cause) {
                        // Nobody there, or what a dead process left.
                        told();
                    }
                });
        loop.schedule(PATIENCE, this::told);
    }

    private void told() {
        if (waiting) {
            waiting = false;
            hearer.onStateTransferred();
        }
    }

    /** This process takes clients: its predecessor may end, and its own successor may find it. */
    public void serving() {
        serving = true;
        NeighborProcess predecessor = neighbours.get(ProcessChain.Role.PREDECESSOR);
        if (predecessor != null) {
            predecessor.say("serving", "");
        }
        // After the clients that wait: a process that is to take our place comes later.
        loop.schedule(SOON, this::announceFirst);
    }

    private void announceFirst() {
        if (serving && server == null) {
            announce();
        }
    }

    /**
     * Under a name of its own first: whoever looks finds the old socket or the new one, and always
     * one.
     */
    private void announce() {
        // Asking the system for the process's number costs a start more than all the rest of this.
        Path own =
                path.resolveSibling(
                        path.getFileName()
                                + "."
                                + Long.toHexString(System.nanoTime())
                                + "-"
                                + ANNOUNCED.incrementAndGet());
        try {
            withdraw();
            server =
                    loop.listen(
                            UnixDomainSocketAddress.of(own),
                            new EventLoop.ChannelHandler() {
                                @Override
                                public Connection onOpened(EndPoint endPoint) {
                                    return new NeighborProcess(
                                            endPoint,
                                            loop,
                                            ProcessChain.Role.SUCCESSOR,
                                            Handover.this);
                                }

                                @Override
                                public void onFailed(Throwable cause) {
                                    // Whoever it was has gone: it will begin without us.
                                }
                            });
            Files.setPosixFilePermissions(own, PosixFilePermissions.fromString("rw-------"));
            fileKey = keyOf(own);
            Files.move(
                    own, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException | RuntimeException e) {
            LOG.warn("a process that is to replace this one will not find it: {}", e.toString());
            withdraw();
            remove(own);
        }
    }

    private static Object keyOf(Path file) throws IOException {
        return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }

    private void withdraw() {
        try {
            if (server != null) {
                loop.unlisten(server);
            }
        } catch (IOException e) {
            LOG.debug("the handover's socket did not close", e);
        }
        server = null;
    }

    /**
     * The process is about to end: nobody needs its file any more, unless it is another's by now.
     */
    public void end() {
        // From here on a neighbour that leaves is no reason to be found again.
        serving = false;
        try {
            if (server != null && Files.exists(path) && keyOf(path).equals(fileKey)) {
                remove(path);
            }
        } catch (IOException e) {
            LOG.debug("whose file stands there cannot be told", e);
        }
        withdraw();
    }

    private static void remove(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            LOG.debug("the handover's file stays", e);
        }
    }

    /** What is one dispatcher's is shared by so many. */
    public int processes() {
        return places.processes();
    }

    /** Another process takes clients in this one's place. */
    public boolean hasSuccessor() {
        return places.hasSuccessor();
    }

    public boolean isOpenElsewhere(String id) {
        for (NeighborProcess neighbour : neighbours.values()) {
            if (neighbour.openIds.contains(id)) {
                return true;
            }
        }
        return false;
    }

    public void opened(String id) {
        sayToAll("open", id);
    }

    public void over(String id) {
        sayToAll("over", id);
    }

    private void sayToAll(String word, String about) {
        for (NeighborProcess neighbour : neighbours.values()) {
            neighbour.say(word, about);
        }
    }

    @Override
    public void opened(NeighborProcess neighbour) {
        neighbour.say(GREETING, name);
        loop.schedule(
                PATIENCE,
                () -> {
                    if (!neighbour.greeted) {
                        neighbour.close();
                    }
                });
        if (neighbour.side == ProcessChain.Role.PREDECESSOR) {
            knowledge.openRequestIds().forEach(id -> neighbour.say("open", id));
        }
    }

    @Override
    public void said(NeighborProcess neighbour, String word, String about) throws IOException {
        if (!neighbour.greeted) {
            greet(neighbour, word, about);
            return;
        }
        switch (word) {
            case "open" -> neighbour.openIds.add(about);
            case "over" -> neighbour.openIds.remove(about);
            case "beyond" -> {
                places.beyond(neighbour.side, number(about));
                changed();
            }
            case "serving" -> {
                if (neighbour.side == ProcessChain.Role.SUCCESSOR) {
                    places.serves();
                    changed();
                }
            }
            case "list", "learned", "told" -> {
                if (neighbour.side == ProcessChain.Role.PREDECESSOR) {
                    predecessorTells(word, about);
                }
            }
            default -> LOG.debug("a neighbour says what this version has no word for: {}", word);
        }
    }

    private void greet(NeighborProcess neighbour, String word, String about) throws IOException {
        // Two names may make one file's name; an older version does not say its own.
        if (!word.equals(GREETING) || (!about.isEmpty() && !about.equals(name))) {
            throw new IOException("not a process of this dispatcher");
        }
        neighbour.greeted = true;
        if (neighbour.side == ProcessChain.Role.SUCCESSOR) {
            succeededBy(neighbour);
        }
        places.came(neighbour.side);
        changed();
    }

    /** Tells the one that is to take our place all that is known; the newest of several counts. */
    private void succeededBy(NeighborProcess neighbour) {
        NeighborProcess older = neighbours.get(ProcessChain.Role.SUCCESSOR);
        if (older != null) {
            older.close();
        }
        neighbours.put(ProcessChain.Role.SUCCESSOR, neighbour);
        String list = knowledge.exportEndpoints();
        if (list != null) {
            neighbour.say("list", list);
        }
        neighbour.say("learned", knowledge.exportLearnedState());
        knowledge.openRequestIds().forEach(id -> neighbour.say("open", id));
        neighbour.say("told", "");
        LOG.info("another process is about to take this one's place");
    }

    private void predecessorTells(String word, String about) {
        if (!waiting) {
            // Too late: what this process has learned by now is the newer.
            return;
        }
        byte[] text = about.getBytes(StandardCharsets.UTF_8);
        try {
            switch (word) {
                case "list" -> knowledge.importEndpoints(text);
                case "learned" -> knowledge.importLearnedState(text);
                default -> told();
            }
        } catch (IOException e) {
            // Of another version, say: the rest may do, and discovery and the workers tell it all
            // again.
            LOG.info("what the predecessor tells is not used: {}", e.getMessage());
        }
    }

    private static int number(String text) throws IOException {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IOException("no number: " + text);
        }
    }

    @Override
    public void left(NeighborProcess neighbour) {
        if (neighbours.remove(neighbour.side, neighbour)) {
            boolean wasLast =
                    neighbour.side == ProcessChain.Role.SUCCESSOR && places.endsAfterNext();
            places.left(neighbour.side);
            changed();
            if (wasLast && serving) {
                // Its file may stand where ours stood.
                announce();
            }
        }
        told();
    }

    private void changed() {
        neighbours.forEach((side, neighbour) -> neighbour.tellBehind(places.behind(side)));
        hearer.onProcessesChanged();
    }
}
