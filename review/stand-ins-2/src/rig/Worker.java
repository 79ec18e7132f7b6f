package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker as the protocol page has it. It takes every job, tells its start, and runs any number side by side for the
 * time that the case gives. A cancel stops nothing.
 */
public final class Worker {
    /** What a worker does with a job. */
    public interface Job {
        /** Runs a job, and returns the last state that is told of it, such as "done". */
        String run(Attempt attempt);
    }

    /** An attempt as the worker saw it, with times of the rig in seconds. */
    public static final class Attempt {
        public final Http.Message request;
        public final double firstByteAt;
        public final double lastByteAt;
        public final int number;
        public volatile double endedAt = Double.POSITIVE_INFINITY;

        Attempt(Http.Message request, double firstByteAt, double lastByteAt, int number) {
            this.request = request;
            this.firstByteAt = firstByteAt;
            this.lastByteAt = lastByteAt;
            this.number = number;
        }

        public String id() {
            return request.fields().get("x-request-id");
        }
    }

    private final Rig rig;
    private final String name;
    private final Job job;
    private final ServerSocket server;
    private final AtomicInteger attemptCount = new AtomicInteger();
    public final CopyOnWriteArrayList<Attempt> attempts = new CopyOnWriteArrayList<>();

    public Worker(Rig rig, String name, Job job) throws IOException {
        this.rig = rig;
        this.name = name;
        this.job = job;
        server = new ServerSocket(0, 512, Rig.loopback());
        Rig.daemon(name, this::accept);
    }

    public String name() {
        return name;
    }

    public int port() {
        return server.getLocalPort();
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

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                double firstByteAt = rig.now();
                in.reset();
                Http.Message request = Http.read(in);
                serve(new Attempt(request, firstByteAt, rig.now(), attemptCount.getAndIncrement()), out);
            }
        } catch (IOException e) {
            // The dispatcher has closed the connection.
        }
    }

    private void serve(Attempt attempt, OutputStream out) throws IOException {
        attempts.add(attempt);
        rig.note(name + " got " + attempt.id() + " " + attempt.request.target());
        String state;
        try {
            tell(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            tell(out, chunk(line(attempt, "started", "")));
            state = job.run(attempt);
            attempt.endedAt = rig.now();
            rig.note(name + " ended " + attempt.id() + ": " + state);
        } finally {
            attempt.endedAt = Math.min(attempt.endedAt, rig.now());
        }
        String result = state.equals("done") ? ",\"result\":\"" + resultOf(attempt.id()) + "\"" : "";
        tell(out, chunk(line(attempt, state, result)) + "0\r\n\r\n");
    }

    /** The result that any worker has for a request. */
    public static String resultOf(String id) {
        return "result of " + id;
    }

    private String line(Attempt attempt, String state, String more) {
        return String.format(
                Locale.ROOT, "{\"id\":\"%s\",\"from\":\"%s\",\"state\":\"%s\"%s}\n", attempt.id(), name, state, more);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void tell(OutputStream out, String text) throws IOException {
        out.write(Http.ascii(text));
        out.flush();
    }
}
