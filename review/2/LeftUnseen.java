import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients leave while their unrepeatable requests wait for their turn, beside bad clients that send a
 * hundred requests at once.
 */
final class LeftUnseen {
    private static final int WORKERS = 18;
    private static final int BAD_CLIENTS = 24;
    private static final int REQUESTS_OF_BAD_CLIENT = 100;
    private static final int BODY_BYTES = 3000;
    private static final int KEYS = 6;
    private static final int ROUNDS = 2;
    private static final double GONE_SECONDS = 0.1;
    private static final double SOCKET_SLACK_SECONDS = 0.05;

    private LeftUnseen() {}

    public static void main(String[] args) throws Exception {
        Stand.main(LeftUnseen::run);
    }

    private static boolean run(RunRecord record, Path root, Path temporary, boolean trouble)
            throws Exception {
        Discovery discovery = new Discovery(record, "discovery");
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(record, "w" + i, LeftUnseen::work).start();
            workers.add(worker);
            discovery.set("w" + i, worker.address(), "bilbao", "gen-b", i / 4, "ready");
        }
        discovery.start();
        InetSocketAddress listen = Dispatcher.freeAddress();
        Dispatcher dispatcher =
                new Dispatcher(
                        record, root, temporary, "n0", listen,
                        Config.json("n0", listen, discovery.address(), null, 192, 1024,
                                discovery.wholeList(), settings()));
        dispatcher.awaitReady();
        // Some ordinary work, from which the dispatcher learns speeds.
        for (int i = 0; i < 40; i++) {
            Stand.thread(() -> settle(record, listen, "warm-" + Client.newId(), 1.0));
            Thread.sleep(50);
        }
        Thread.sleep(2000);
        Map<String, Double> closedAt = new ConcurrentHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            record.line("case", "round %d", round);
            if (trouble) {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Stand.thread(() -> sendAtOnce(record, listen));
                }
            }
            Thread.sleep(500);
            for (int i = 0; i < KEYS; i++) {
                String key = "k" + round + "-" + i;
                Stand.thread(() -> settle(record, listen, key, 1.5));
                Thread.sleep(50);
            }
            List<Thread> leaving = new ArrayList<>();
            for (int i = 0; i < KEYS; i++) {
                String key = "k" + round + "-" + i;
                leaving.add(Stand.thread(() -> sendAndLeave(record, listen, key, closedAt)));
            }
            for (Thread client : leaving) {
                client.join();
            }
            Thread.sleep(7000);
        }
        int late = 0;
        for (Worker worker : workers) {
            for (Worker.Arrival arrival : worker.arrivals) {
                Double closed = closedAt.get(arrival.id);
                if (closed != null && arrival.at > closed + GONE_SECONDS + SOCKET_SLACK_SECONDS) {
                    late++;
                    record.line(
                            "check", "job %s (unrepeatable, key %s) came to %s %.3f s after its client had closed",
                            arrival.id, arrival.key, arrival.worker, arrival.at - closed);
                }
            }
        }
        record.line(
                "check", "%d clients left while their request waited; %d of the requests were sent later than 0.1 s after the close",
                closedAt.size(), late);
        if (closedAt.size() < KEYS) {
            throw new IllegalStateException("too few clients left");
        }
        return late == 0;
    }

    /** Does a job for as long as its client said that it costs. */
    private static void work(Worker worker, Worker.Arrival arrival, Worker.Lines lines) throws Exception {
        lines.started();
        for (int i = 1; i <= arrival.seconds; i++) {
            Thread.sleep(1000);
            lines.running(Math.min(0.99, i / arrival.seconds));
        }
        Thread.sleep((long) (1000 * (arrival.seconds - Math.floor(arrival.seconds))));
        lines.done("result of " + arrival.id);
    }

    private static void settle(RunRecord record, InetSocketAddress listen, String key, double seconds) {
        Client.call(
                record, listen, "cod-settle?s=" + seconds, Client.newId(), 15, key, null, seconds,
                "settle".getBytes());
    }

    /** A usual client that gives up early: sends one request and closes its connection 0.3 s later. */
    private static void sendAndLeave(
            RunRecord record, InetSocketAddress listen, String key, Map<String, Double> closedAt)
            throws Exception {
        String id = Client.newId();
        Socket socket = new Socket();
        socket.connect(listen, 2000);
        byte[] body = "settle".getBytes();
        socket.getOutputStream()
                .write(
                        (Client.message("cod-settle?s=1.5", id, 15, key, null, 1.5, body) + "settle")
                                .getBytes(StandardCharsets.ISO_8859_1));
        record.line("client", "sent cod-settle %s key=%s", id, key);
        Thread.sleep(300);
        if (socket.getInputStream().available() > 0) {
            record.line("client", "%s is answered already", id);
        } else {
            closedAt.put(id, record.now());
            record.line("client", "leaves: closes the connection of %s", id);
        }
        socket.close();
    }

    /** A bad client: a hundred requests at once on one connection; it reads what it is sent. */
    private static void sendAtOnce(RunRecord record, InetSocketAddress listen) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < REQUESTS_OF_BAD_CLIENT; i++) {
            all.write(
                    Client.message("route-plan?s=4.0", Client.newId(), 25, null, null, 4, body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
        }
        try (Socket socket = new Socket()) {
            socket.connect(listen, 2000);
            socket.setSoTimeout(5000);
            record.line("bad", "sends %d requests at once, %d bytes", REQUESTS_OF_BAD_CLIENT, all.size());
            socket.getOutputStream().write(all.toByteArray());
            byte[] buffer = new byte[65536];
            while (socket.getInputStream().read(buffer) >= 0) {
                // It reads what it is sent.
            }
        } catch (IOException e) {
            record.line("bad", "goes: %s", e.getMessage());
        }
    }

    private static String settings() {
        return "{\"az\":\"bilbao\",\"zones\":[\"bilbao\"],\"balancers\":3,\"position\":0,\"membership_mode\":\"ask\","
                + "\"models\":[\"gen-a\",\"gen-b\",\"gen-c\"],"
                + "\"family_info\":{\"tells_start\":true,\"progress_us\":1000000,\"class_stretch\":\"2.0,2.0\"},"
                + "\"permissions\":{\"cancel\":true,\"may_duplicate\":true,\"most_tries\":6,\"retry_after\":true,"
                + "\"max_retry_after_us\":2000000,\"connect_timeout_us\":250000,\"conn_idle_us\":15000000},"
                + "\"rules\":{\"ask_every_us\":10000000,\"cold_from\":0.12,\"cold_us\":24000000,\"tip_multiple\":4.0,"
                + "\"fall_us\":1500000,\"grace_to_answer_us\":20000,\"stop_sending_within_us\":1000000,"
                + "\"gone_is_advice\":true,\"key_rest_us\":200000},"
                + "\"request_classes\":["
                + Config.requestClass("route-plan", "free", "all", 3000000, 25000000, 5, 5000000, false) + ","
                + Config.requestClass("cod-settle", "single_shot", "all", 1000000, 15000000, 8, 5000000, true)
                + "]}";
    }
}
