import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import rig.Client;
import rig.Config;
import rig.Discovery;
import rig.Dispatcher;
import rig.Http;
import rig.Rig;
import rig.Worker;

/** Case 6: bad clients send heads without end, in fields of a few bytes, beside the usual clients. */
public final class EndlessHeads {
    private static final int BAD_CLIENTS = 300;
    private static final int WAVES = 4;
    private static final double WAVE_SECONDS = 4;

    /** Under the 8 KiB at which the dispatcher answers a head with an error. */
    private static final int HEAD_BYTES = 8000;

    private static final double TIMEOUT = 5;

    public static void main(String[] arguments) {
        Rig.main(arguments, EndlessHeads::run);
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
        int admin = Rig.freePort();
        Config config =
                new Config()
                        .discovery(discovery)
                        .limits(192, 1024)
                        .offering("holding-value", "free", "all", 900, 5000, 5000, "");
        Dispatcher dispatcher =
                rig.start(
                                "n0",
                                port,
                                admin,
                                config.write(
                                        rig.temporary().resolve("config.json"),
                                        "127.0.0.1:" + port,
                                        "127.0.0.1:" + admin,
                                        ""),
                                rig.temporary())
                        .awaitReady();
        Rig.sleep(1);

        AtomicInteger served = new AtomicInteger();
        Queue<String> lost = new ConcurrentLinkedQueue<>();
        double end = rig.now() + 2 + WAVES * WAVE_SECONDS;
        Thread usual = Rig.daemon("usual clients", () -> {
            for (int i = 0; rig.now() < end && dispatcher.isAlive(); i++) {
                String id = "usual-" + i;
                Rig.daemon(id, () -> ask(rig, port, id, served, lost));
                Rig.sleep(0.1);
            }
        });
        Rig.sleep(2);
        for (int wave = 0; rig.trouble && wave < WAVES && dispatcher.isAlive(); wave++) {
            double next = rig.now() + WAVE_SECONDS;
            rig.note(BAD_CLIENTS + " bad clients send heads without end");
            List<Client> bad = new ArrayList<>();
            String head = endlessHead();
            for (int i = 0; i < BAD_CLIENTS && dispatcher.isAlive(); i++) {
                try {
                    Client client = new Client(port);
                    bad.add(client);
                    client.write(head);
                } catch (IOException e) {
                    rig.note("bad client " + i + ": " + e.getMessage());
                }
            }
            rig.note(bad.size() + " of them have connected");
            rig.sleepUntil(next);
            bad.forEach(Client::close);
        }
        usual.join();
        boolean ended = dispatcher.waitFor(1);
        if (ended) {
            rig.say("the dispatcher has ended with exit code " + dispatcher.exitCode());
        }
        Rig.sleep(dispatcher.isAlive() ? TIMEOUT : 0.5);
        rig.say(served.get() + " usual requests served, " + lost.size() + " taken and not answered");
        lost.forEach(rig::note);
        Rig.require(served.get() > 0, "no usual request was served");
        return !ended;
    }

    /** A request line and fields of six bytes, each with a name of its own; no end. */
    private static String endlessHead() {
        StringBuilder head = new StringBuilder("POST /holding-value HTTP/1.1\r\nHost: app.svc\r\n");
        String letters = "abcdefghijklmnopqrstuvwxyz0123456789-_.~!$&'*+^`|%#";
        for (int i = 0; head.length() < HEAD_BYTES; i++) {
            head.append(letters.charAt(i / letters.length()))
                    .append(letters.charAt(i % letters.length()))
                    .append(":1\r\n");
        }
        return head.toString();
    }

    private static void ask(Rig rig, int port, String id, AtomicInteger served, Queue<String> lost) {
        boolean taken = false;
        try (Client client = new Client(port)) {
            rig.note(id + " sent");
            client.write(Client.request("holding-value", id, TIMEOUT, "X-Cost: 200000\r\n", "a job"));
            taken = true;
            Http.Message answer = client.read(TIMEOUT + 0.6);
            rig.note(id + " answered: " + (answer == null ? "closed" : answer.first()));
            if (answer == null) {
                lost.add(id + " was taken and its connection closed");
            } else if (answer.status() == 200) {
                served.incrementAndGet();
            }
        } catch (IOException e) {
            rig.note(id + ": " + e);
            if (taken) {
                lost.add(id + " was taken: " + e);
            }
        }
    }
}
