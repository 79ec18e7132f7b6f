package wheelroute.net;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.Config;
import wheelroute.net.clients.Clients;
import wheelroute.net.list.ListWatch;
import wheelroute.net.list.WorkerList;
import wheelroute.net.workers.Workers;

/** One dispatcher on sockets: its parts put together, started, and brought to an end. */
public final class Service {
    /** Parts of the descriptors for clients and for workers; the rest is the runtime's own and slack. */
    private static final double CLIENTS_PART = 0.45;
    private static final double WORKERS_PART = 0.4;
    /** New connections go on coming so long after the signal to end. */
    private static final double STILL_LISTENING = 0.45;
    /** All that was taken is answered within this, or within the longest outer limit if that is less. */
    private static final double LONGEST_DRAIN = 3;
    /** How often it is looked whether the last answer has gone out. */
    private static final double LOOK = 0.02;
    /** For the last answers' bytes to leave: the process ends its connections when it goes. */
    private static final double LAST_BYTES = 0.1;
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    private final Config config;
    private final Loop loop;
    private final Counters counters = new Counters();
    private final Workers workers;
    private final CountDownLatch drained = new CountDownLatch(1);
    private Exchanges exchanges;
    private Clients clients;

    public Service(Config config) {
        this.config = config;
        loop = new Loop(new Clock(), config.connectLimit());
        workers = new Workers(loop, counters, (int) (WORKERS_PART * config.sockets()), config.idleLimit());
    }

    /** Returns once clients are listened to. */
    public void start() throws Exception {
        loop.start();
        CompletableFuture<Void> listening = new CompletableFuture<>();
        loop.post(() -> {
            try {
                assemble();
                listening.complete(null);
            } catch (IOException | RuntimeException e) {
                listening.completeExceptionally(e);
            }
        });
        listening.get();
    }

    private void assemble() throws IOException {
        exchanges = new Exchanges(loop, counters, workers, config.settings());
        long version = -1;
        if (config.known() != null) {
            WorkerList known = WorkerList.decode(config.known());
            version = known.version();
            exchanges.listed(known, true);
        }
        exchanges.watch(new ListWatch(loop, config.discovery(), counters, exchanges, version));
        clients = new Clients(loop, exchanges, counters, (int) (CLIENTS_PART * config.sockets()));
        exchanges.clients(clients);
        clients.listen(config.listen());
        LOG.info("{} listens on {}", config.name(), config.listen());
    }

    public int port() {
        return clients.port();
    }

    /** From any thread: answers what was taken, then returns. */
    public void drain() throws Exception {
        loop.post(this::beginDrain);
        drained.await();
        LOG.info("at the end\n{}", exchanges.metrics());
        loop.stop();
    }

    private void beginDrain() {
        exchanges.drain();
        double end = loop.now() + Math.min(LONGEST_DRAIN, config.longestOuterLimit());
        loop.later(STILL_LISTENING, () -> {
            try {
                clients.stopListening();
            } catch (IOException e) {
                LOG.warn("the listening socket did not close", e);
            }
            look(end);
        });
    }

    private void look(double end) {
        if (exchanges.unanswered() == 0) {
            loop.later(LAST_BYTES, drained::countDown);
        } else if (loop.now() >= end) {
            exchanges.giveUpAll();
            loop.later(LAST_BYTES, drained::countDown);
        } else {
            loop.later(LOOK, () -> look(end));
        }
    }
}
