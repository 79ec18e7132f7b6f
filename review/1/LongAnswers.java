import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Workers write long answers in pieces, at a dispatcher with little room. */
final class LongAnswers {
    private static final int WORKERS = 12;
    private static final int MEMORY_MB = 96;
    private static final int SOCKETS = 512;
    /** A third of the descriptors, which the pages give as the most that clients hold for requests. */
    private static final int MOST_OPEN = SOCKETS / 3;
    private static final int REQUESTS_PER_SECOND = 34;
    private static final double LOAD_SECONDS = 25;
    private static final int REQUEST_BODY_BYTES = 24_000;
    private static final String RESULT = "r".repeat(65_000);
    private static final int PIECE_BYTES = 13_000;
    private static final long PAUSE_MILLIS = 1000;

    private LongAnswers() {}

    public static void main(String[] args) throws Exception {
        Stand.main(LongAnswers::run);
    }

    private static boolean run(RunRecord record, Path root, Path temporary, boolean trouble)
            throws Exception {
        Discovery discovery = new Discovery(record, "discovery");
        for (int i = 0; i < WORKERS; i++) {
            Worker worker =
                    new Worker(record, "w" + i, (w, arrival, lines) -> answer(lines, trouble)).start();
            discovery.set("w" + i, worker.address(), "rubavu-gisenyi", "std-3core", i / 4, "ready");
        }
        discovery.start();
        InetSocketAddress listen = Dispatcher.freeAddress();
        String admin = "127.0.0.1:" + Dispatcher.freeAddress().getPort();
        Dispatcher dispatcher =
                new Dispatcher(
                        record, root, temporary, "n0", listen,
                        Config.json("n0", listen, discovery.address(), admin, MEMORY_MB, SOCKETS,
                                discovery.wholeList(), settings()));
        dispatcher.awaitReady();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        Semaphore open = new Semaphore(MOST_OPEN);
        double end = record.now() + LOAD_SECONDS;
        while (record.now() < end && dispatcher.process.isAlive()) {
            open.acquire();
            Stand.thread(
                    () -> {
                        Client.Answer answer =
                                Client.call(
                                        record, listen, "full-statement", Client.newId(), 20, null, null,
                                        1.0, new byte[REQUEST_BODY_BYTES]);
                        (answer.status() == 0 ? lost : answered).incrementAndGet();
                        open.release();
                    });
            Thread.sleep(1000 / REQUESTS_PER_SECOND);
        }
        record.line("case", "no more requests; %d are open", MOST_OPEN - open.availablePermits());
        open.tryAcquire(MOST_OPEN, 25, TimeUnit.SECONDS);
        boolean alive = dispatcher.process.isAlive();
        record.line(
                "check", "%d requests answered, %d got no answer; the dispatcher %s", answered.get(), lost.get(),
                alive ? "runs" : "has ended by itself with exit code " + dispatcher.process.exitValue());
        return alive && lost.get() == 0;
    }

    private static void answer(Worker.Lines lines, boolean trouble) throws Exception {
        lines.running(0.5);
        Thread.sleep(1000);
        if (trouble) {
            lines.doneSlowly(RESULT, PIECE_BYTES, PAUSE_MILLIS);
        } else {
            lines.done(RESULT);
        }
    }

    private static String settings() {
        return "{\"az\":\"rubavu-gisenyi\",\"zones\":[\"rubavu-gisenyi\"],\"balancers\":2,\"position\":0,"
                + "\"membership_mode\":\"ask\",\"models\":[\"std-3core\"],"
                + "\"family_info\":{\"tells_start\":false,\"progress_us\":1000000,\"class_stretch\":\"2.0\"},"
                + "\"permissions\":{\"cancel\":true,\"may_duplicate\":false,\"most_tries\":6,\"retry_after\":true,"
                + "\"max_retry_after_us\":2000000,\"connect_timeout_us\":250000,\"conn_idle_us\":15000000},"
                + "\"rules\":{\"ask_every_us\":10000000,\"cold_from\":0.31,\"cold_us\":8900000,\"tip_multiple\":4.0,"
                + "\"fall_us\":1000000,\"grace_to_answer_us\":20000,\"stop_sending_within_us\":2000000},"
                + "\"request_classes\":["
                + Config.requestClass("full-statement", "free", "all", 1200000, 20000000, 5, 5000000, false)
                + "]}";
    }
}
