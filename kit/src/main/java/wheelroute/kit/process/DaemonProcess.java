package wheelroute.kit.process;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the program, as an operator would run it, from its start to its end. */
final class DaemonProcess {
    /**
     * How it is started; a port of 0 is the system's choice, a jar of null the build of this kit.
     */
    record Spec(
            String name,
            Path config,
            InetSocketAddress discovery,
            int port,
            Path temporary,
            Path jar,
            int heapMb) {}

    /** What becomes of it; each word comes on a thread of its own. */
    interface Listener {
        /** It takes clients; its port is known. */
        void onReady(DaemonProcess process);

        /** It is gone, with or without ever having been up. */
        void onEnded(DaemonProcess process);
    }

    private static final Pattern LISTENS = Pattern.compile("listens on .*:(\\d+)$");
    private static final Pattern DOOR =
            Pattern.compile("(?:admin server listening on|operators call) .*:(\\d+)$");
    private static final Pattern PEERS =
            Pattern.compile("(?:membership listening on|peers are heard at) .*:(\\d+),? as");
    private static final String JAR = "daemon/target/wheelroute.jar";
    private static final String ARCHIVE = "daemon/target/serve.jsa";

    /** How long it may take to say that it is well, once it listens. */
    private static final int WELL_MILLIS = 5000;

    /** Lines of its log that are kept for when it ends unasked. */
    private static final int KEPT_LINES = 12;

    private final Spec spec;
    private final ArrayDeque<String> log = new ArrayDeque<>();
    private final Process process;
    private volatile int port;
    private volatile int adminPort;
    private volatile int peers;

    /** Nobody has asked it to end. */
    private volatile boolean wanted = true;

    private DaemonProcess(Spec spec, Process process, int port) {
        this.spec = spec;
        this.process = process;
        this.port = port;
    }

    static DaemonProcess start(Spec spec, ProcessSupervisor supervisor, Listener listener)
            throws IOException {
        Path root = root();
        ProcessBuilder builder = new ProcessBuilder(command(spec, root)).redirectErrorStream(true);
        if (spec.jar == null && root != null) {
            builder.directory(root.toFile());
        }
        int port = spec.port;
        if (spec.jar != null && port == 0) {
            // Builds before 0.2 do not tell which port they got.
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
        }
        builder.environment().put("LB_CONFIG", spec.config.toString());
        builder.environment().put("LB_LISTEN", host() + ":" + port);
        builder.environment().put("LB_DISCOVERY", host() + ":" + spec.discovery.getPort());
        builder.environment().put("LB_ADMIN", host() + ":0");
        builder.environment().put("TMPDIR", spec.temporary.toString());
        DaemonProcess daemon = new DaemonProcess(spec, supervisor.start(builder), port);
        Thread reader = new Thread(() -> daemon.read(listener), spec.name + "-log");
        reader.setDaemon(true);
        reader.start();
        return daemon;
    }

    private static List<String> command(Spec spec, Path root) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-Xshare:auto",
                                "-Xlog:disable",
                                "-Djava.locale.providers=COMPAT",
                                "-Xms24m",
                                "-Xmx" + spec.heapMb + "m",
                                "-Xss512k"));
        if (spec.jar != null) {
            command.addAll(List.of("-jar", spec.jar.toString(), "serve"));
        } else if (root != null) {
            // As deploy/run.sh starts it: without its class data a start takes several times as
            // long.
            command.addAll(List.of("-XX:SharedArchiveFile=" + ARCHIVE, "-jar", JAR, "serve"));
        } else {
            command.addAll(
                    List.of(
                            "-cp",
                            System.getProperty("java.class.path"),
                            "wheelroute.Main",
                            "serve"));
        }
        return command;
    }

    /** Where the whole repository is built; null where the kit runs off its classes alone. */
    private static Path root() {
        Path first =
                Path.of(System.getProperty("java.class.path").split(File.pathSeparator)[0])
                        .toAbsolutePath();
        Path folder = first.toString().endsWith(".jar") ? first : null;
        while (folder != null && !Files.isRegularFile(folder.resolve(JAR))) {
            folder = folder.getParent();
        }
        return folder;
    }

    private static String host() {
        return InetAddress.getLoopbackAddress().getHostAddress();
    }

    private void read(Listener listener) {
        boolean listens = false;
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                keep(line);
                Matcher doorAt = DOOR.matcher(line);
                if (doorAt.find()) {
                    adminPort = Integer.parseInt(doorAt.group(1));
                }
                Matcher peersAt = PEERS.matcher(line);
                if (peersAt.find()) {
                    peers = Integer.parseInt(peersAt.group(1));
                }
                Matcher listensAt = LISTENS.matcher(line);
                if (!listens && listensAt.find()) {
                    listens = true;
                    port = Integer.parseInt(listensAt.group(1));
                    whenWell(() -> listener.onReady(this));
                }
            }
        } catch (IOException e) {
            keep(e.toString());
        }
        process.onExit().thenRun(() -> listener.onEnded(this));
    }

    /**
     * A front takes a dispatcher in once it has answered that it is well, not when it merely
     * listens.
     */
    private void whenWell(Runnable task) {
        Thread asker =
                new Thread(
                        () -> {
                            try {
                                HttpURLConnection call =
                                        (HttpURLConnection)
                                                new URL("http", host(), port, "/healthz")
                                                        .openConnection(Proxy.NO_PROXY);
                                call.setConnectTimeout(WELL_MILLIS);
                                call.setReadTimeout(WELL_MILLIS);
                                keep("/healthz answered " + call.getResponseCode());
                                call.disconnect();
                            } catch (IOException e) {
                                // Whether it serves is what the run is there to find out.
                                keep("/healthz: " + e);
                            }
                            task.run();
                        },
                        spec.name + "-well");
        asker.setDaemon(true);
        asker.start();
    }

    private void keep(String line) {
        synchronized (log) {
            log.addLast(line);
            if (log.size() > KEPT_LINES) {
                log.pollFirst();
            }
        }
    }

    String lastLines() {
        synchronized (log) {
            return spec.name + "'s log ends with:\n  " + String.join("\n  ", log);
        }
    }

    Process process() {
        return process;
    }

    /** Where it takes clients, once it is up. */
    int port() {
        return port;
    }

    /** The admin server; 0 where it has none. */
    int adminPort() {
        return adminPort;
    }

    /** Where it hears peers; 0 where it does not. */
    int peers() {
        return peers;
    }

    boolean isWanted() {
        return wanted;
    }

    void kill() {
        wanted = false;
        process.destroyForcibly();
    }

    void terminate() {
        wanted = false;
        process.destroy();
    }
}
