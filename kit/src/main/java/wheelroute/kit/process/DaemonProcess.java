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

/** One process of the daemon, from its start to its end. Thread-safe. */
final class DaemonProcess {
    /**
     * How a process is started.
     *
     * @param port for clients; 0 lets the system choose one
     * @param temporary directory for its temporary files
     * @param jar the build to start; null for that of this kit
     */
    record Spec(
            String name,
            Path config,
            InetSocketAddress discovery,
            int port,
            Path temporary,
            Path jar,
            int heapMb) {}

    /** Follows a process; each method is called on a thread of its own. */
    interface Listener {
        /** It accepts clients; its port is known. */
        void onReady(DaemonProcess process);

        /** It has ended, whether or not it was ready before. */
        void onEnded(DaemonProcess process);
    }

    private static final Pattern LISTENING = Pattern.compile("listens on .*:(\\d+)$");

    // The second alternatives are the log lines of builds up to 0.2.
    private static final Pattern ADMIN_SERVER =
            Pattern.compile("(?:admin server listening on|operators call) .*:(\\d+)$");
    private static final Pattern MEMBERSHIP =
            Pattern.compile("(?:membership listening on|peers are heard at) .*:(\\d+),? as");

    private static final String JAR = "daemon/target/wheelroute.jar";
    private static final String CLASS_DATA_ARCHIVE = "daemon/target/serve.jsa";
    private static final int HEALTH_CHECK_TIMEOUT_MILLIS = 5000;

    /** Lines of the log that are part of an error message. */
    private static final int LOG_EXCERPT_LINES = 12;

    private final Spec spec;
    private final ArrayDeque<String> lastLogLines = new ArrayDeque<>();
    private final Process process;
    private volatile int port;
    private volatile int adminPort;
    private volatile int peerPort;
    private volatile boolean isWanted = true;

    private DaemonProcess(Spec spec, Process process, int port) {
        this.spec = spec;
        this.process = process;
        this.port = port;
    }

    /** Starts a process and returns at once. */
    static DaemonProcess start(Spec spec, ProcessSupervisor supervisor, Listener listener)
            throws IOException {
        Path root = repositoryRoot();
        ProcessBuilder builder = new ProcessBuilder(command(spec, root)).redirectErrorStream(true);
        if (spec.jar == null && root != null) {
            builder.directory(root.toFile());
        }
        int port = spec.port;
        if (spec.jar != null && port == 0) {
            // Builds before 0.2 do not log the port that the system chose.
            port = freePort();
        }
        builder.environment().put("LB_CONFIG", spec.config.toString());
        builder.environment().put("LB_LISTEN", host() + ":" + port);
        builder.environment().put("LB_DISCOVERY", host() + ":" + spec.discovery.getPort());
        builder.environment().put("LB_ADMIN", host() + ":0");
        builder.environment().put("TMPDIR", spec.temporary.toString());
        DaemonProcess daemon = new DaemonProcess(spec, supervisor.start(builder), port);
        startThread(spec.name + "-log", () -> daemon.readLog(listener));
        return daemon;
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
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
            // As in deploy/run.sh: without the archive a start takes several times as long.
            command.addAll(
                    List.of("-XX:SharedArchiveFile=" + CLASS_DATA_ARCHIVE, "-jar", JAR, "serve"));
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

    /** Returns the root of the built repository; null if the kit runs from class files. */
    private static Path repositoryRoot() {
        Path first =
                Path.of(System.getProperty("java.class.path").split(File.pathSeparator)[0])
                        .toAbsolutePath();
        Path directory = first.toString().endsWith(".jar") ? first : null;
        while (directory != null && !Files.isRegularFile(directory.resolve(JAR))) {
            directory = directory.getParent();
        }
        return directory;
    }

    private static String host() {
        return InetAddress.getLoopbackAddress().getHostAddress();
    }

    private void readLog(Listener listener) {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            boolean isListening = false;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                keep(line);
                adminPort = portIn(line, ADMIN_SERVER, adminPort);
                peerPort = portIn(line, MEMBERSHIP, peerPort);
                Matcher listening = LISTENING.matcher(line);
                if (!isListening && listening.find()) {
                    isListening = true;
                    port = Integer.parseInt(listening.group(1));
                    checkHealthThenRun(() -> listener.onReady(this));
                }
            }
        } catch (IOException e) {
            keep(e.toString());
        }
        process.onExit().thenRun(() -> listener.onEnded(this));
    }

    private static int portIn(String line, Pattern pattern, int otherwise) {
        Matcher found = pattern.matcher(line);
        return found.find() ? Integer.parseInt(found.group(1)) : otherwise;
    }

    /**
     * Runs a task after a health check was answered: a front end adds a dispatcher only then, not
     * when it merely listens. The task runs even if the check fails, so that the run finds out.
     */
    private void checkHealthThenRun(Runnable task) {
        startThread(
                spec.name + "-health",
                () -> {
                    try {
                        HttpURLConnection call =
                                (HttpURLConnection)
                                        new URL("http", host(), port, "/healthz")
                                                .openConnection(Proxy.NO_PROXY);
                        call.setConnectTimeout(HEALTH_CHECK_TIMEOUT_MILLIS);
                        call.setReadTimeout(HEALTH_CHECK_TIMEOUT_MILLIS);
                        keep("/healthz answered " + call.getResponseCode());
                        call.disconnect();
                    } catch (IOException e) {
                        keep("/healthz: " + e);
                    }
                    task.run();
                });
    }

    private void keep(String line) {
        synchronized (lastLogLines) {
            lastLogLines.addLast(line);
            if (lastLogLines.size() > LOG_EXCERPT_LINES) {
                lastLogLines.pollFirst();
            }
        }
    }

    /** Returns the end of its log, for error messages. */
    String logExcerpt() {
        synchronized (lastLogLines) {
            return "the log of "
                    + spec.name
                    + " ends with:\n  "
                    + String.join("\n  ", lastLogLines);
        }
    }

    Process process() {
        return process;
    }

    /** Returns the port for clients; valid once it is ready. */
    int port() {
        return port;
    }

    /** Returns the port of the admin server; 0 if it has none. */
    int adminPort() {
        return adminPort;
    }

    /** Returns the port for gossip; 0 if it has none. */
    int peerPort() {
        return peerPort;
    }

    /** Whether it was neither killed nor terminated by the kit. */
    boolean isWanted() {
        return isWanted;
    }

    /** Ends it at once. */
    void kill() {
        isWanted = false;
        process.destroyForcibly();
    }

    /** Lets it shut down gracefully. */
    void terminate() {
        isWanted = false;
        process.destroy();
    }
}
