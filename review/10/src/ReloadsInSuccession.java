import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
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

/** Case 10: new configurations in quick succession while discovery is slow, and a worker that begins to drain. */
public final class ReloadsInSuccession {
    private static final int RELOADS = 10;
    private static final double INTERVAL_SECONDS = 1.2;

    /** Each answer of discovery takes so long, and comes whole. */
    private static final double ANSWER_SECONDS = 1.5;

    /** A change counts as told so long after discovery had it and could be reached, whether or not it arrived. */
    private static final double TOLD_SECONDS = 6;

    private static final double GRACE_SECONDS = 2;

    /** Each time limit is 50 ms longer on sockets, and a process may be held up for 0.15 s before it writes. */
    private static final double SLACK_SECONDS = 0.05 + 0.15;

    private static final double AFTER_SECONDS = 24;
    private static final double TIMEOUT = 5;

    public static void main(String[] arguments) {
        Rig.main(arguments, ReloadsInSuccession::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(new Worker(rig, "w" + i, attempt -> {
                Rig.sleep(0.2);
                return "done";
            }));
        }
        // One service, which each new configuration names at another address.
        List<Discovery> addresses = new ArrayList<>();
        for (int i = 0; i <= RELOADS; i++) {
            Discovery address = new Discovery(rig, "discovery" + i, 40);
            for (int j = 0; j < workers.size(); j++) {
                address.list(workers.get(j), "ready", j / 2);
            }
            addresses.add(address);
        }
        int port = Rig.freePort();
        Path file = rig.temporary().resolve("config.json");
        replace(rig, file, addresses.get(0), port);
        Dispatcher dispatcher = rig.start("n0", port, 0, file, rig.temporary()).awaitReady();
        Rig.sleep(2);
        // Slow with and without the disruption.
        for (Discovery address : addresses) {
            address.writer =
                    (out, head, body) -> {
                        Rig.sleep(ANSWER_SECONDS);
                        out.write(head);
                        out.write(body);
                        out.flush();
                    };
        }
        AtomicInteger served = new AtomicInteger();
        double end = rig.now() + 6 + AFTER_SECONDS;
        Thread clients = Rig.daemon("clients", () -> {
            for (int i = 0; rig.now() < end; i++) {
                String id = "job-" + i;
                Rig.daemon(id, () -> ask(rig, port, id, served));
                Rig.sleep(0.05);
            }
        });
        Rig.sleep(6);
        double drainsAt = rig.now();
        Worker draining = workers.get(0);
        for (int i = 1; i <= RELOADS && rig.trouble; i++) {
            replace(rig, file, addresses.get(i), port);
            dispatcher.signal("HUP");
            addresses.get(i - 1).retire();
            if (i == 1) {
                drain(addresses, draining);
            }
            Rig.sleep(INTERVAL_SECONDS);
        }
        if (!rig.trouble) {
            drain(addresses, draining);
        }
        clients.join();
        Rig.sleep(TIMEOUT);

        double limit = drainsAt + TOLD_SECONDS + GRACE_SECONDS + SLACK_SECONDS;
        long before = draining.attempts.stream().filter(a -> a.firstByteAt < drainsAt).count();
        long late = draining.attempts.stream().filter(a -> a.firstByteAt > limit).count();
        double last = draining.attempts.stream().mapToDouble(a -> a.firstByteAt).max().orElse(0);
        Rig.require(dispatcher.isAlive(), "the dispatcher has ended");
        Rig.require(before > 0 && served.get() > 100, "the worker got no request before it drained");
        rig.say(
                String.format(
                        "%d requests served; the worker drains since %.3f, by the rule it gets nothing after %.3f;"
                                + " it got %d requests later, the last one at %.3f",
                        served.get(), drainsAt, limit, late, last));
        return late == 0;
    }

    private static void drain(List<Discovery> addresses, Worker worker) {
        addresses.forEach(address -> address.list(worker, "draining", 0));
    }

    /** Replaces the file of the configuration in one step. */
    private static void replace(Rig rig, Path file, Discovery discovery, int port) throws IOException {
        Path next =
                new Config()
                        .discovery(discovery)
                        .graceMs((int) (GRACE_SECONDS * 1000))
                        .offering("holding-value", "free", "all", 900, 5000, 5000, "")
                        .write(rig.temporary().resolve("next.json"), "127.0.0.1:" + port, "", "");
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
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
