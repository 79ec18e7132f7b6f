import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A dispatcher: a process of its own, started with the line `run` of the deploy file. */
final class Dispatcher {
    private static final List<Dispatcher> ALL = new ArrayList<>();

    final String name;
    final InetSocketAddress listen;
    final Process process;
    private final RunRecord record;
    private final Path log;

    /** Starts a process with the configuration. */
    Dispatcher(
            RunRecord record, Path root, Path temporary, String name, InetSocketAddress listen, String config)
            throws IOException {
        this.record = record;
        this.name = name;
        this.listen = listen;
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, config);
        log = temporary.resolve(name + ".log");
        Path shared = Files.createDirectories(temporary.resolve("tmp-" + name));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
        builder.directory(root.toFile());
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", shared.toString());
        for (String variable : List.of("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN")) {
            builder.environment().remove(variable);
        }
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        record.line(name, "started as process %d with %s", process.pid(), Stand.shorten(config, 3000));
        synchronized (ALL) {
            ALL.add(this);
        }
    }

    private static String runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no line run");
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Waits until GET /healthz answers 200. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                throw new IOException("the dispatcher has ended while starting");
            }
            try (java.net.Socket socket = new java.net.Socket()) {
                socket.connect(listen, 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".getBytes());
                Http answer = Http.read(new java.io.BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.status() == 200) {
                    record.line(name, "is ready");
                    return;
                }
            } catch (IOException e) {
                // Not ready yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the dispatcher is not ready after 30 s");
    }

    static void endAll() {
        synchronized (ALL) {
            for (Dispatcher dispatcher : ALL) {
                dispatcher.process.destroyForcibly();
                try {
                    dispatcher.process.waitFor(5, TimeUnit.SECONDS);
                    for (String line : Files.readAllLines(dispatcher.log)) {
                        dispatcher.record.line(dispatcher.name, "log: %s", line);
                    }
                } catch (IOException | InterruptedException e) {
                    dispatcher.record.line(dispatcher.name, "no log: %s", e);
                }
            }
            ALL.clear();
        }
    }
}
