package wheelroute.kit.real;

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
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One dispatcher as a process of its own, as an operator would run it. */
final class DaemonProcess {
    private static final Pattern LISTENS = Pattern.compile("listens on .*:(\\d+)$");
    private static final String JAR = "daemon/target/wheelroute.jar";
    private static final String ARCHIVE = "daemon/target/serve.jsa";
    /** How long it may take to say that it is well, once it listens. */
    private static final int WELL_MILLIS = 5000;
    /** Lines of its log that are kept for when it ends unasked. */
    private static final int KEPT_LINES = 12;
    private static final int READY_SECONDS = 30;
    private static final int GONE_SECONDS = 6;

    private final String name;
    private final Path config;
    private final InetSocketAddress discovery;
    /** Null for the daemon that the kit was built with, else a jar of another build. */
    private final Path jar;
    private final int heapMb;
    private final ArrayDeque<String> log = new ArrayDeque<>();
    private Process process;
    private volatile int port;
    private volatile boolean wanted;

    DaemonProcess(String name, Path config, InetSocketAddress discovery, Path jar, int heapMb) {
        this.name = name;
        this.config = config;
        this.discovery = discovery;
        this.jar = jar;
        this.heapMb = heapMb;
    }

    /**
     * Starts it and calls back, on a thread of its own, with its port, or with -1 when it did not come up.
     */
    void start(IntConsumer ready, Runnable endedUnasked) throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java")
                .toString(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData",
                        "-Xshare:auto",
                "-Xlog:disable", "-Djava.locale.providers=COMPAT", "-Xms24m", "-Xmx" + heapMb + "m",
                        "-Xss512k"));
        Path root = root();
        if (jar != null) {
            command.addAll(List.of("-jar", jar.toString(), "serve"));
        } else if (root != null) {
            // As deploy/run.sh starts it: without its class data a start takes several times as long.
            command.addAll(List.of("-XX:SharedArchiveFile=" + ARCHIVE, "-jar", JAR, "serve"));
        } else {
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), "wheelroute.Main", "serve"));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (jar == null && root != null) {
            builder.directory(root.toFile());
        }
        builder.environment().put("LB_CONFIG", config.toString());
        if (jar != null && port == 0) {
            // Builds before 0.2 do not tell which port they got.
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
        }
        // The first start takes any free port; later ones must be found where the first was.
        builder.environment().put("LB_LISTEN", host() + ":" + port);
        builder.environment().put("LB_DISCOVERY", host() + ":" + discovery.getPort());
        Process started = builder.start();
        process = started;
        wanted = true;
        Thread reader = new Thread(() -> read(started, ready, endedUnasked), name + "-log");
        reader.setDaemon(true);
        reader.start();
    }

    /** Where the whole repository is built; null where the kit runs off its classes alone. */
    private static Path root() {
        Path first = Path.of(System.getProperty("java.class.path").split(File.pathSeparator)[0])
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

    private void read(Process started, IntConsumer ready, Runnable endedUnasked) {
        boolean up = false;
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Matcher listens = LISTENS.matcher(line);
                if (!up && listens.find()) {
                    up = true;
                    port = Integer.parseInt(listens.group(1));
                    whenWell(() -> ready.accept(port));
                }
                keep(line);
            }
        } catch (IOException e) {
            keep(e.toString());
        }
        if (!up) {
            ready.accept(-1);
        } else if (wanted && process == started) {
            endedUnasked.run();
        }
    }

    /** A front takes a dispatcher in once it has answered that it is well, not when it merely listens. */
    private void whenWell(Runnable task) {
        Thread asker = new Thread(() -> {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL("http", host(), port, "/healthz")
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
        }, name + "-well");
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
            return name + "'s log ends with:\n  " + String.join("\n  ", log);
        }
    }

    void kill() {
        wanted = false;
        if (process != null) {
            process.destroyForcibly();
        }
    }

    void end() {
        wanted = false;
        if (process != null) {
            process.destroy();
        }
    }

    /** Its process stands still, or goes on: by the shell's own word, as the JDK has none for it. */
    void pause(boolean begins) throws IOException {
        if (process != null && process.isAlive()) {
            new ProcessBuilder("sh", "-c", "kill -" + (begins ? "STOP " : "CONT ") + process.pid()).start();
        }
    }

    /** Waits for its end, and kills it if that takes too long. */
    void await() {
        if (process == null) {
            return;
        }
        try {
            if (!process.waitFor(GONE_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    static int readySeconds() {
        return READY_SECONDS;
    }

    static void delete(Path folder) {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // It lies where the system clears up.
            folder.toFile().deleteOnExit();
        }
    }
}
