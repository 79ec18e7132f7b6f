import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Discovery takes 2.6 s for each call, within the 3 s of the site, while a worker begins to drain. */
final class SlowDiscovery {
    private static final long QUEUE_MILLIS = 2600;
    private static final double TOLD_SECONDS = 6;
    private static final double GRACE_SECONDS = 2;
    private static final double SOCKET_SLACK_SECONDS = 0.05;
    private static final int WORKERS = 10;
    private static final int DISPATCHERS = 2;

    private SlowDiscovery() {}

    public static void main(String[] args) throws Exception {
        Stand.main(SlowDiscovery::run);
    }

    private static boolean run(RunRecord record, Path root, Path temporary, boolean trouble)
            throws Exception {
        Discovery discovery = new Discovery(record, "discovery");
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(record, "w" + i, Worker.sound(500)).start();
            workers.add(worker);
            set(discovery, workers, i, "ready");
        }
        discovery.start();
        List<Dispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            InetSocketAddress listen = Dispatcher.freeAddress();
            dispatchers.add(
                    new Dispatcher(
                            record, root, temporary, "n" + i, listen,
                            Config.json("n" + i, listen, discovery.address(), null, 192, 1024,
                                    discovery.wholeList(), settings(i))));
        }
        for (Dispatcher dispatcher : dispatchers) {
            dispatcher.awaitReady();
        }
        double begin = record.now();
        for (Dispatcher dispatcher : dispatchers) {
            load(record, dispatcher);
        }
        sleepUntil(record, begin + 5);
        discovery.queueMillis = trouble ? QUEUE_MILLIS : 0;
        record.line("case", "each call to discovery now waits %d ms", discovery.queueMillis);
        sleepUntil(record, begin + 15);
        double drainedAt = record.now();
        set(discovery, workers, 0, "draining");
        double bound = drainedAt + TOLD_SECONDS + GRACE_SECONDS + SOCKET_SLACK_SECONDS;
        sleepUntil(record, begin + 50);
        int late = 0;
        int before = 0;
        for (Worker.Arrival arrival : workers.get(0).arrivals) {
            if (arrival.at > bound) {
                late++;
                record.line(
                        "check", "job %s came to the draining w0 at %.3f, %.3f s after the bound",
                        arrival.id, arrival.at, arrival.at - bound);
            } else if (arrival.at < drainedAt) {
                before++;
            }
        }
        record.line(
                "check", "w0 drains from %.3f, bound %.3f; %d jobs before, %d jobs after the bound",
                drainedAt, bound, before, late);
        if (before == 0) {
            throw new IllegalStateException("w0 got no job before it drained");
        }
        return late == 0;
    }

    private static void set(Discovery discovery, List<Worker> workers, int i, String state) {
        discovery.set("w" + i, workers.get(i).address(), "musanze", "triple-std", i / 4, state);
    }

    private static void load(RunRecord record, Dispatcher dispatcher) {
        Stand.thread(
                () -> {
                    while (true) {
                        Stand.thread(
                                () -> Client.call(
                                        record, dispatcher.listen, "alert-check", Client.newId(), 7.5,
                                        null, null, 0.5, "check".getBytes()));
                        Thread.sleep(100);
                    }
                });
    }

    private static void sleepUntil(RunRecord record, double time) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) ((time - record.now()) * 1000)));
    }

    private static String settings(int position) {
        return "{\"az\":\"musanze\",\"zones\":[\"musanze\"],\"balancers\":" + DISPATCHERS
                + ",\"position\":" + position + ",\"membership_mode\":\"ask\","
                + "\"models\":[\"twin-fast\",\"triple-std\"],"
                + "\"family_info\":{\"tells_start\":true,\"progress_us\":0},"
                + "\"permissions\":{\"cancel\":true,\"may_duplicate\":true,\"most_tries\":6,\"retry_after\":true,"
                + "\"max_retry_after_us\":2000000,\"connect_timeout_us\":250000,\"conn_idle_us\":30000000},"
                + "\"rules\":{\"ask_every_us\":10000000,\"cold_from\":0.31,\"cold_us\":8700000,\"tip_multiple\":3.0,"
                + "\"fall_us\":1000000,\"grace_to_answer_us\":20000,\"stop_sending_within_us\":2000000},"
                + "\"request_classes\":["
                + Config.requestClass("alert-check", "free", "all", 500000, 7500000, 2, 5000000, false)
                + "]}";
    }
}
