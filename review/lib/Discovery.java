import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for discovery: the whole list, and watches on its changes. Thread-safe. */
final class Discovery {
    private final RunRecord record;
    private final String name;
    private final ServerSocket server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 1;

    /** How long a call waits in the queue of discovery before discovery looks at it. */
    volatile long queueMillis;

    private static final class Entry {
        String json;
        long changedAt;
        boolean gone;
    }

    Discovery(RunRecord record, String name) throws IOException {
        this.record = record;
        this.name = name;
        server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void start() {
        Stand.thread(this::acceptAll);
    }

    /** Adds or changes a worker: state is ready, draining or gone. */
    synchronized void set(
            String id, String address, String zone, String kind, int cell, String state) {
        Entry entry = entries.computeIfAbsent(id, key -> new Entry());
        entry.changedAt = ++version;
        entry.gone = state.equals("gone");
        entry.json =
                String.format(
                        "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,"
                                + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
                        id, address, zone, kind, cell, state);
        record.line(name, "has version %d: %s is %s", version, id, state);
        notifyAll();
    }

    synchronized String wholeList() {
        List<String> listed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.gone) {
                listed.add(entry.json);
            }
        }
        return list(true, listed);
    }

    private String list(boolean full, List<String> listed) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", listed) + "]}";
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Stand.thread(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http call = Http.read(in); call != null; call = Http.read(in)) {
                String target = call.startLine.split(" ")[1];
                double calledAt = record.now();
                long queued = queueMillis;
                if (queued > 0) {
                    record.line(name, "call %s waits in turn for %d ms", target, queued);
                    Thread.sleep(queued);
                }
                byte[] body = answer(target).getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                        + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.UTF_8));
                out.write(body);
                record.line(
                        name, "call %s answered after %.3f s: %s", target,
                        record.now() - calledAt, Stand.shorten(new String(body), 300));
            }
        } catch (IOException e) {
            record.line(name, "connection of a call ended: %s", e.getMessage());
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        if (!target.contains("from=")) {
            return wholeList();
        }
        long from = Long.parseLong(target.replaceAll(".*from=(\\d+).*", "$1"));
        long hold =
                target.contains("hold_ms=")
                        ? Long.parseLong(target.replaceAll(".*hold_ms=(\\d+).*", "$1"))
                        : 0;
        long end = System.nanoTime() + hold * 1_000_000;
        while (version <= from && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        List<String> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.changedAt > from) {
                changed.add(entry.json);
            }
        }
        return list(false, changed);
    }
}
