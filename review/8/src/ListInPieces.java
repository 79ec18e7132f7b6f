import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import rig.Client;
import rig.Config;
import rig.Discovery;
import rig.Dispatcher;
import rig.Http;
import rig.Rig;
import rig.Worker;

/** Case 8: a slow discovery writes each answer in two pieces, and a worker begins to drain. */
public final class ListInPieces {
    /** The pause between the two pieces of an answer. */
    private static final double PAUSE_SECONDS = 1.2;

    /** A change counts as told so long after discovery had it and could be reached, whether or not it arrived. */
    private static final double TOLD_SECONDS = 6;

    private static final double GRACE_SECONDS = 2;

    /** Each time limit is 50 ms longer on sockets, and a process may be held up for 0.15 s before it writes. */
    private static final double SLACK_SECONDS = 0.05 + 0.15;

    private static final double AFTER_SECONDS = 24;
    private static final double TIMEOUT = 5;

    public static void main(String[] arguments) {
        Rig.main(arguments, ListInPieces::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig, "discovery", 40);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker(rig, "w" + i, attempt -> {
                Rig.sleep(0.2);
                return "done";
            });
            discovery.list(worker, "ready", i / 2);
            workers.add(worker);
        }
        int port = Rig.freePort();
        Config config =
                new Config()
                        .discovery(discovery)
                        .graceMs((int) (GRACE_SECONDS * 1000))
                        .offering("holding-value", "free", "all", 900, 5000, 5000, "");
        rig.start(
                        "n0",
                        port,
                        0,
                        config.write(rig.temporary().resolve("config.json"), "127.0.0.1:" + port, "", ""),
                        rig.temporary())
                .awaitReady();
        Rig.sleep(2);
        if (rig.trouble) {
            rig.note("from now on discovery pauses within each answer");
            discovery.writer =
                    (out, head, body) -> {
                        out.write(head);
                        out.write(body, 0, body.length / 2);
                        out.flush();
                        Rig.sleep(PAUSE_SECONDS);
                        out.write(body, body.length / 2, body.length - body.length / 2);
                        out.flush();
                    };
        }
        AtomicInteger served = new AtomicInteger();
        double end = rig.now() + 4 + AFTER_SECONDS;
        Thread clients = Rig.daemon("clients", () -> {
            for (int i = 0; rig.now() < end; i++) {
                String id = "job-" + i;
                Rig.daemon(id, () -> ask(rig, port, id, served));
                Rig.sleep(0.05);
            }
        });
        Rig.sleep(4);
        double drainsAt = rig.now();
        Worker draining = workers.get(0);
        discovery.list(draining, "draining", 0);
        clients.join();
        Rig.sleep(TIMEOUT);

        double limit = drainsAt + TOLD_SECONDS + GRACE_SECONDS + SLACK_SECONDS;
        long before = draining.attempts.stream().filter(a -> a.firstByteAt < drainsAt).count();
        long late = draining.attempts.stream().filter(a -> a.firstByteAt > limit).count();
        double last = draining.attempts.stream().mapToDouble(a -> a.firstByteAt).max().orElse(0);
        Rig.require(before > 0 && served.get() > 100, "the worker got no request before it drained");
        rig.say(
                String.format(
                        "%d requests served; the worker drains since %.3f, by the rule it gets nothing after %.3f;"
                                + " it got %d requests later, the last one at %.3f",
                        served.get(), drainsAt, limit, late, last));
        return late == 0;
    }

    private static void ask(Rig rig, int port, String id, AtomicInteger served) {
        try (Client client = new Client(port)) {
            rig.note(id + " sent");
            client.write(Client.request("holding-value", id, TIMEOUT, "X-Cost: 200000\r\n", "a job"));
            Http.Message answer = client.read(TIMEOUT + 0.6);
            rig.note(id + " answered: " + (answer == null ? "closed" : answer.first()));
            if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
            }
        } catch (IOException e) {
            rig.note(id + ": " + e);
        }
    }
}
