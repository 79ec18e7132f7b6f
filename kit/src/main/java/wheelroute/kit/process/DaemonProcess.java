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
     * Parameters of the start of a process.
     *
     * @param port port for clients; 0 lets the system choose one
     * @param temporaryDirectory directory for temporary files of the process
     * @param jar build to start; null for the build of this kit
     */
    record Spec(
            String name,
            Path config,
            InetSocketAddress discovery,
            int port,
            Path temporaryDirectory,
            Path jar,
            int heapMb) {}

    /**
     * Listener for the state of a process. Each method is called on a background thread, not on the
     * event loop's.
     */
    interface Listener {
        /** Called once the process accepts clients and its port is known. */
        void onReady(DaemonProcess process);

        /** Called once the process has ended, whether or not it was ready before. */
        void onEnded(DaemonProcess process);
    }

    private static final Pattern LISTENING = Pattern.compile("listens on .*:(\\d+)$");

    // The second alternative of each pattern matches the log line of builds up to 0.2.
    private static final Pattern ADMIN_SERVER =
            Pattern.compile("(?:admin server listening on|operators call) .*:(\\d+)$");
    private static final Pattern MEMBERSHIP =
            Pattern.compile("(?:membership listening on|peers are heard at) .*:(\\d+),? as");

    private static final String JAR = "daemon/target/wheelroute.jar";
    private static final String CLASS_DATA_ARCHIVE = "daemon/target/serve.jsa";
    private static final int HEALTH_CHECK_TIMEOUT_MILLIS = 5000;

    /** Number of log lines that an error message quotes. */
    private static final int LOG_EXCERPT_LINES = 12;

    private final Spec spec;
    private final ArrayDeque<String> lastLogLines = new ArrayDeque<>();
    private final Process process;
    private volatile int port;
    private volatile int adminPort;
    private volatile int peerPort;
    private volatile boolean isExpectedToRun = true;

    private DaemonProcess(Spec spec, Process process, int port) {
        this.spec = spec;
        this.process = process;
        this.port = port;
    }

    /** Starts a process and returns without waiting until it is ready. */
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
        builder.environment().put("TMPDIR", spec.temporaryDirectory.toString());
        DaemonProcess daemon = new DaemonProcess(spec, supervisor.start(builder), port);
        startThread(spec.name + "-log", () -> daemon.readLog(listener));
        return daemon;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
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
            // Uses the archive as deploy/run.sh does, because a start without it takes several
            // times as long.
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
                recordLogLine(line);
                adminPort = findPort(line, ADMIN_SERVER, adminPort);
                peerPort = findPort(line, MEMBERSHIP, peerPort);
                Matcher listening = LISTENING.matcher(line);
                if (!isListening && listening.find()) {
                    isListening = true;
                    port = Integer.parseInt(listening.group(1));
                    checkHealthThenRun(() -> listener.onReady(this));
                }
            }
        } catch (IOException e) {
            recordLogLine(e.toString());
        }
        process.onExit().thenRun(() -> listener.onEnded(this));
    }

    private static int findPort(String line, Pattern pattern, int defaultPort) {
        Matcher found = pattern.matcher(line);
        return found.find() ? Integer.parseInt(found.group(1)) : defaultPort;
    }

    /**
     * Runs a task after a health check has been answered, because a front end adds a dispatcher
     * only then and not as soon as it listens. The task also runs if the check fails, so that the
     * run detects the fault.
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
                        recordLogLine("/healthz answered " + call.getResponseCode());
                        call.disconnect();
                    } catch (IOException e) {
                        recordLogLine("/healthz: " + e);
                    }
                    task.run();
                });
    }

    private void recordLogLine(String line) {
        synchronized (lastLogLines) {
            lastLogLines.addLast(line);
            if (lastLogLines.size() > LOG_EXCERPT_LINES) {
                lastLogLines.pollFirst();
            }
        }
    }

    /** Returns the last lines of the log of the process, for error messages. */
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

    /** Returns the port for clients; valid once the process is ready. */
    int port() {
        return port;
    }

    /**
     * Returns the port of the admin server; 0 until the process has logged it, or if the process
     * has no admin server.
     */
    int adminPort() {
        return adminPort;
    }

    /**
     * Returns the port for gossip; 0 until the process has logged it, or if the process is no
     * member of a cluster.
     */
    int peerPort() {
        return peerPort;
    }

    /** Whether the kit has neither killed nor terminated the process; if so, its end is a crash. */
    boolean isExpectedToRun() {
        return isExpectedToRun;
    }

    /** Ends the process at once with SIGKILL. */
    void kill() {
        isExpectedToRun = false;
        process.destroyForcibly();
    }

    /** Requests a graceful shutdown of the process with SIGTERM. */
    void terminate() {
        isExpectedToRun = false;
        process.destroy();
    }
}
