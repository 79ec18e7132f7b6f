package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery as the protocol page has it: the whole list, or a watch that waits for changes. */
public final class Discovery {
    private static final Pattern WATCH = Pattern.compile("/v1/servers\\?from=(\\d+)&hold_ms=(\\d+)");

    /** Writes an answer, possibly late or in pieces. */
    public interface Writer {
        void write(OutputStream out, byte[] head, byte[] body) throws IOException;
    }

    private record Entry(String json, long version) {}

    private final Rig rig;
    private final String name;
    private final ServerSocket server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Entry> gone = new LinkedHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private long version;

    /** How answers are written; at once, unless the case sets another way. */
    public volatile Writer writer =
            (out, head, body) -> {
                out.write(head);
                out.write(body);
                out.flush();
            };

    public Discovery(Rig rig, String name, long firstVersion) throws IOException {
        this.rig = rig;
        this.name = name;
        version = firstVersion;
        server = new ServerSocket(0, 512, Rig.loopback());
        Rig.daemon(name, this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lists a worker in a state, which is a change. */
    public synchronized void list(Worker worker, String state, int cell) {
        list(worker.name(), worker.port(), state, cell, 0);
    }

    public synchronized void list(String id, int port, String state, int cell, long startedMs) {
        version++;
        String json =
                String.format(
                        Locale.ROOT,
                        "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"std-3core\",\"cell\":%d,"
                                + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                        id,
                        port,
                        cell,
                        state,
                        startedMs);
        Map<String, Entry> target = state.equals("gone") ? gone : entries;
        entries.remove(id);
        gone.remove(id);
        target.put(id, new Entry(json, version));
        rig.note(name + " has version " + version + ": " + id + " " + state);
        notifyAll();
    }

    private synchronized String full() {
        return json(true, -1);
    }

    private String json(boolean full, long after) {
        StringBuilder list = new StringBuilder();
        for (Map<String, Entry> part : full ? java.util.List.of(entries) : java.util.List.of(entries, gone)) {
            for (Entry entry : part.values()) {
                if (entry.version() > after) {
                    list.append(list.length() == 0 ? "" : ",").append(entry.json());
                }
            }
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + list + "]}";
    }

    private synchronized String watch(long from, long holdMillis) throws InterruptedException {
        long end = System.nanoTime() + holdMillis * 1_000_000;
        while (version <= from) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        return json(false, from);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Rig.daemon(name + "-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Takes no new connection any more, and closes the open ones after 1.5 s, as at a new configuration. */
    public void retire() throws IOException {
        server.close();
        Rig.daemon(name + "-end", () -> {
            Rig.sleep(1.5);
            for (Socket socket : connections) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // It is closed either way.
                }
            }
        });
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                rig.note(name + " was asked " + call.target());
                Matcher watch = WATCH.matcher(call.target());
                String body =
                        watch.matches()
                                ? watch(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                                : full();
                String head =
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n";
                writer.write(socket.getOutputStream(), Http.ascii(head), Http.ascii(body));
                rig.note(name + " has answered " + call.target() + " with " + body);
            }
        } catch (IOException e) {
            rig.note(name + ": a call's connection ended");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } finally {
            connections.remove(socket);
        }
    }
}
