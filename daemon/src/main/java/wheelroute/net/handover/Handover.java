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
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.Loop;

/**
 * This process among the others of the same dispatcher: the one whose place it takes, and the one that takes
 * its own. They meet on a Unix socket in a directory that they share; docs/design/handover.md has the words.
 */
public final class Handover implements Neighbour.Hearer {
    /** What this process has to tell, and is told. */
    public interface Here {
        /** The list as last told, in discovery's form; null for none. */
        String list();

        String learned();

        Iterable<String> openIds();

        void listTold(byte[] list) throws IOException;

        void learnedTold(byte[] learned) throws IOException;

        /** All is told that will be told: clients may be listened to. */
        void told();

        /** What is one dispatcher's is shared by so many; and whether another one has taken our place. */
        void placesChanged(int processes, boolean hasSuccessor);
    }

    /** The listening socket, a neighbour on either side, and one that is being greeted. */
    public static final int DESCRIPTORS = 4;
    /** What a predecessor has not told by then is done without: it may be stuck, or of another kind. */
    private static final double PATIENCE = 0.5;
    /** Well before anybody could have begun to replace a process that has just begun itself. */
    private static final double SOON = 0.05;
    private static final String GREETING = "wheelroute-handover";
    /** No two files of one process may have one name. */
    private static final AtomicInteger ANNOUNCED = new AtomicInteger();
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

    private final Loop loop;
    private final Path path;
    private final Here here;
    private final Places places = new Places();
    private final Neighbour[] neighbours = new Neighbour[Places.Side.values().length];
    /** What each neighbour was told last; who has been told nothing takes it for none. */
    private final int[] toldBehind = new int[Places.Side.values().length];
    private final Set<Neighbour> greeted = new HashSet<>();
    /** Ids open at either neighbour. */
    private final Set<String> before = new HashSet<>();
    private final Set<String> after = new HashSet<>();
    private ServerSocketChannel server;
    private boolean waiting;
    private boolean serving;
    /** By which the file that stands there is known as ours. */
    private Object fileKey;

    /** Of one dispatcher, by its name and its clients' address, in a directory that its processes share. */
    public Handover(Loop loop, Path directory, String name, Here here) {
        this.loop = loop;
        this.here = here;
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        path = directory.resolve(String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    /** Asks a predecessor for what it knows, if there is one; {@link Here#told} follows in any case, once. */
    public void begin() {
        waiting = true;
        if (!Files.exists(path)) {
            // Nobody has ever been there: clients need not wait for what it takes to ask.
            told();
            return;
        }
        loop.connect(UnixDomainSocketAddress.of(path), new Loop.Peer() {
            @Override
            public Connection opened(EndPoint endPoint) {
                Neighbour neighbour = new Neighbour(endPoint, loop, Handover.this);
                neighbours[Places.Side.BEFORE.ordinal()] = neighbour;
                return neighbour;
            }

            @Override
            public void failed(Throwable cause) {
                // Nobody there, or what a dead process left.
                told();
            }
        });
        loop.later(PATIENCE, this::told);
    }

    private void told() {
        if (waiting) {
            waiting = false;
            here.told();
        }
    }

    /** This process takes clients: its predecessor may end, and its own successor may find it. */
    public void serving() {
        serving = true;
        Neighbour predecessor = neighbours[Places.Side.BEFORE.ordinal()];
        if (predecessor != null) {
            predecessor.say("serving", "");
        }
        // After the clients that wait: a process that is to take our place comes later.
        loop.later(SOON, this::announceFirst);
    }

    private void announceFirst() {
        if (serving && server == null) {
            announce();
        }
    }

    /** Under a name of its own first: whoever looks finds the old socket or the new one, and always one. */
    private void announce() {
        // Asking the system for the process's number costs a start more than all the rest of this.
        Path own = path.resolveSibling(path.getFileName() + "." + Long.toHexString(System.nanoTime()) + "-"
                + ANNOUNCED.incrementAndGet());
        try {
            withdraw();
            Files.deleteIfExists(own);
            server = loop.listen(UnixDomainSocketAddress.of(own), new Loop.Peer() {
                @Override
                public Connection opened(EndPoint endPoint) {
                    return new Neighbour(endPoint, loop, Handover.this);
                }

                @Override
                public void failed(Throwable cause) {
                    // Whoever it was has gone: it will begin without us.
                }
            });
            Files.setPosixFilePermissions(own, PosixFilePermissions.fromString("rw-------"));
            fileKey = keyOf(own);
            Files.move(own, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException | RuntimeException e) {
            LOG.warn("a process that is to replace this one will not find it: {}", e.toString());
            withdraw();
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

    /** The process is about to end: nobody needs its file any more, unless it is another's by now. */
    public void end() {
        // From here on a neighbour that leaves is no reason to be found again.
        serving = false;
        try {
            if (server != null && Files.exists(path) && keyOf(path).equals(fileKey)) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            LOG.debug("the handover's file stays", e);
        }
        withdraw();
    }

    public boolean hasSuccessor() {
        return places.hasSuccessor();
    }

    public boolean isOpenElsewhere(String id) {
        return before.contains(id) || after.contains(id);
    }

    public void opened(String id) {
        sayToAll("open", id);
    }

    public void over(String id) {
        sayToAll("over", id);
    }

    private void sayToAll(String word, String about) {
        for (Neighbour neighbour : neighbours) {
            if (neighbour != null) {
                neighbour.say(word, about);
            }
        }
    }

    @Override
    public void opened(Neighbour neighbour) {
        neighbour.say(GREETING, "");
        loop.later(PATIENCE, () -> {
            if (!greeted.contains(neighbour)) {
                neighbour.close();
            }
        });
        if (neighbour == neighbours[Places.Side.BEFORE.ordinal()]) {
            here.openIds().forEach(id -> neighbour.say("open", id));
        }
    }

    @Override
    public void said(Neighbour neighbour, String word, String about) throws IOException {
        if (!greeted.contains(neighbour)) {
            greet(neighbour, word);
            return;
        }
        Places.Side side = sideOf(neighbour);
        Set<String> open = side == Places.Side.BEFORE ? before : after;
        switch (word) {
            case "open" -> open.add(about);
            case "over" -> open.remove(about);
            case "beyond" -> {
                places.beyond(side, number(about));
                changed();
            }
            case "serving" -> {
                if (side == Places.Side.AFTER) {
                    places.serves();
                    changed();
                }
            }
            case "list", "learned", "told" -> {
                if (side == Places.Side.BEFORE) {
                    predecessorTells(word, about);
                }
            }
            default -> LOG.debug("a neighbour says what this version has no word for: {}", word);
        }
    }

    private void greet(Neighbour neighbour, String word) throws IOException {
        if (!word.equals(GREETING)) {
            throw new IOException("not a process of this dispatcher");
        }
        greeted.add(neighbour);
        if (neighbour != neighbours[Places.Side.BEFORE.ordinal()]) {
            succeededBy(neighbour);
        }
        places.came(sideOf(neighbour));
        changed();
    }

    /** Tells the one that is to take our place all that is known; the newest of several counts. */
    private void succeededBy(Neighbour neighbour) {
        Neighbour older = neighbours[Places.Side.AFTER.ordinal()];
        if (older != null) {
            older.close();
        }
        neighbours[Places.Side.AFTER.ordinal()] = neighbour;
        String list = here.list();
        if (list != null) {
            neighbour.say("list", list);
        }
        neighbour.say("learned", here.learned());
        here.openIds().forEach(id -> neighbour.say("open", id));
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
                case "list" -> here.listTold(text);
                case "learned" -> here.learnedTold(text);
                default -> told();
            }
        } catch (IOException e) {
            // Of another version, say: the rest may do, and discovery and the workers tell it all again.
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

    private Places.Side sideOf(Neighbour neighbour) {
        return neighbour == neighbours[Places.Side.BEFORE.ordinal()] ? Places.Side.BEFORE : Places.Side.AFTER;
    }

    @Override
    public void left(Neighbour neighbour) {
        greeted.remove(neighbour);
        for (Places.Side side : Places.Side.values()) {
            if (neighbours[side.ordinal()] == neighbour) {
                neighbours[side.ordinal()] = null;
                toldBehind[side.ordinal()] = 0;
                (side == Places.Side.BEFORE ? before : after).clear();
                boolean wasLast = side == Places.Side.AFTER && places.endsAfterNext();
                places.left(side);
                changed();
                if (wasLast && serving) {
                    // Its file may stand where ours stood.
                    announce();
                }
            }
        }
        told();
    }

    private void changed() {
        for (Places.Side side : Places.Side.values()) {
            // Only news: an answer to each word would be answered for ever.
            int behind = places.behind(side);
            if (neighbours[side.ordinal()] != null && behind != toldBehind[side.ordinal()]) {
                toldBehind[side.ordinal()] = behind;
                neighbours[side.ordinal()].say("beyond", Integer.toString(behind));
            }
        }
        here.placesChanged(places.processes(), places.hasSuccessor());
    }
}
