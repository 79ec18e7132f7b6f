import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in for a worker, which does what the case says with each job. Thread-safe. */
final class Worker {
    final String id;
    private final RunRecord record;
    private final ServerSocket server;
    private final Job job;

    /** All jobs that have come, in the order of their last bytes. */
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    /** What a worker does with a job. */
    interface Job {
        void run(Worker worker, Arrival arrival, Lines lines) throws Exception;
    }

    /** A job that has come, with the times at which its last byte came and at which it ended. */
    static final class Arrival {
        final String worker;
        final String id;
        final String key;
        final String mark;
        final double at;

        /** How long the job runs, where its client says so in the query (?s=1.5); else 0. */
        final double seconds;
        volatile double endedAt = Double.NaN;

        Arrival(String worker, Http request, double at) {
            this.worker = worker;
            this.id = String.valueOf(request.field("x-request-id"));
            this.key = request.field("x-route-key");
            this.mark = request.field("idempotency-key");
            this.at = at;
            String line = request.startLine;
            this.seconds =
                    line.contains("?s=") ? Double.parseDouble(line.replaceAll(".*\\?s=([0-9.]+).*", "$1")) : 0;
        }
    }

    Worker(RunRecord record, String id, Job job) throws IOException {
        this.record = record;
        this.id = id;
        this.job = job;
        server = new ServerSocket(0, 400, InetAddress.getByName("127.0.0.1"));
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    Worker start() {
        Stand.thread(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        Stand.thread(() -> serve(socket));
                    }
                });
        return this;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                Arrival arrival = new Arrival(id, request, record.now());
                arrivals.add(arrival);
                record.line(
                        id, "job %s has come: %s key=%s mark=%s X-Timeout=%s body=%d", arrival.id,
                        request.startLine, arrival.key, arrival.mark, request.field("x-timeout"),
                        request.body.length);
                Lines lines = new Lines(socket.getOutputStream(), arrival.id, id);
                job.run(this, arrival, lines);
                arrival.endedAt = record.now();
                record.line(id, "job %s has ended", arrival.id);
            }
        } catch (IOException e) {
            record.line(id, "connection ended: %s", e.getMessage());
        }
    }

    /** The answer to a job: chunks of one line each. */
    static final class Lines {
        private final OutputStream out;
        private final String job;
        private final String worker;

        Lines(OutputStream out, String job, String worker) throws IOException {
            this.out = out;
            this.job = job;
            this.worker = worker;
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        private String head() {
            return "{\"id\":\"" + job + "\",\"from\":\"" + worker + "\",\"state\":";
        }

        private void line(String json) throws IOException {
            write(Integer.toHexString(json.length() + 1) + "\r\n" + json + "\n\r\n");
        }

        void started() throws IOException {
            line(head() + "\"started\"}");
        }

        void running(double share) throws IOException {
            line(head() + "\"running\",\"share\":" + share + "}");
        }

        void done(String result) throws IOException {
            line(head() + "\"done\",\"result\":\"" + result + "\"}");
            write("0\r\n\r\n");
        }

        /** Writes the last line in pieces of a size, with a pause before each but the first. */
        void doneSlowly(String result, int pieceBytes, long pauseMillis) throws Exception {
            String json = head() + "\"done\",\"result\":\"" + result + "\"}\n";
            write(Integer.toHexString(json.length()) + "\r\n");
            for (int from = 0; from < json.length(); from += pieceBytes) {
                if (from > 0) {
                    Thread.sleep(pauseMillis);
                }
                write(json.substring(from, Math.min(json.length(), from + pieceBytes)));
            }
            write("\r\n0\r\n\r\n");
        }
    }

    /** Returns the work of a sound worker, which tells the start and then the result. */
    static Job sound(long millis) {
        return (worker, arrival, lines) -> {
            lines.started();
            Thread.sleep(millis);
            lines.done("result of " + arrival.id);
        };
    }
}
