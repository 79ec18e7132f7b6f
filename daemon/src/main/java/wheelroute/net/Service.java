package wheelroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.decision.Settings;
import wheelroute.net.admin.AdminServer;
import wheelroute.net.admin.ServiceStatus;
import wheelroute.net.clients.ClientServer;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.discovery.EndpointWatch;
import wheelroute.net.handover.Handover;
import wheelroute.net.peers.MembershipService;
import wheelroute.net.workers.WorkerConnectionPools;

/** One dispatcher on sockets: its parts put together, started, and brought to an end. */
public final class Service implements ServiceStatus {
    /**
     * Descriptors of the runtime: its archives, the selector, the listening socket, discovery; and
     * slack.
     */
    private static final int OWN_SOCKETS = 40;

    /** Of the others, for clients and for workers; the rest are connections on their way out. */
    private static final double CLIENTS_PART = 0.5;

    private static final double WORKERS_PART = 0.42;

    /** New connections go on coming so long after the signal to end. */
    private static final double STILL_LISTENING = 0.45;

    /** The process is killed 0.7 s after this, or after the longest outer limit if that is less. */
    private static final double LONGEST_DRAIN = 3;

    /** Of that 0.7 s so much is used: the rest is for a busy core to get the last answers out. */
    private static final double SPARE = 0.5;

    /** How often it is looked whether the last answer has gone out. */
    private static final double LOOK = 0.02;

    /** For the last answers' bytes to leave: the process ends its connections when it goes. */
    private static final double LAST_BYTES = 0.08;

    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    private final Config config;
    private InetSocketAddress discovery;
    private final EventLoop loop;
    private final Counters counters;
    private final WorkerConnectionPools workers;
    private final CompletableFuture<Void> listening = new CompletableFuture<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private RequestDispatcher exchanges;
    private ClientServer clients;
    private AdminServer door;

    /** Null where no process can take another's place. */
    private Handover handover;

    /** Null where this dispatcher knows no others. */
    private MembershipService peers;

    private boolean listensToClients;

    /** Written down by the loop's thread, which alone may read them. */
    private volatile String lastFigures;

    public Service(Config config) {
        this(config, new EventLoop(new Clock(), config.connectLimit()));
    }

    /** With a loop of the caller's, which may hold back what a test wants to come late. */
    Service(Config config, EventLoop loop) {
        this.config = config;
        this.loop = loop;
        discovery = config.discovery();
        counters =
                new Counters(
                        config.settings().requestClasses().stream()
                                .map(Settings.RequestClass::id)
                                .toList());
        workers = new WorkerConnectionPools(loop, counters, part(WORKERS_PART), config.idleLimit());
        // Ahead of all else that may be posted: a signal can come before the start is through.
        loop.post(this::assembleFirst);
    }

    private void assembleFirst() {
        starting(
                () -> {
                    assemble();
                    if (handover == null) {
                        listen();
                    } else {
                        handover.begin();
                    }
                });
    }

    /** A step of the start: the first that fails ends it. */
    private interface StartStep {
        void run() throws ConfigException;
    }

    private void starting(StartStep step) {
        try {
            step.run();
        } catch (ConfigException | RuntimeException e) {
            listening.completeExceptionally(e);
        }
    }

    /** Returns once clients are listened to. */
    public void start() throws Exception {
        loop.start();
        try {
            listening.get();
        } catch (ExecutionException e) {
            loop.stop();
            // Whoever was told to end it meanwhile waits for nothing.
            drained.countDown();
            throw e.getCause() instanceof ConfigException fault ? fault : e;
        }
    }

    private void assemble() throws ConfigException {
        exchanges =
                new RequestDispatcher(
                        loop, counters, workers, config.settings(), config.longestOuterLimit());
        long version = EndpointWatch.NO_VERSION;
        if (config.known() != null) {
            EndpointList known = known();
            version = known.version();
            exchanges.onEndpoints(known);
        }
        exchanges.setWatch(
                new EndpointWatch(loop, discovery, counters, exchanges, version, manner()));
        clients = new ClientServer(loop, exchanges, counters, part(CLIENTS_PART));
        exchanges.setClients(clients);
        if (config.admin() != null) {
            openDoor();
        }
        if (config.meeting() != null) {
            String name = config.name() + " " + config.listen();
            handover =
                    new Handover(
                            loop,
                            config.meeting(),
                            name,
                            exchanges.transferableState(),
                            new HandoverListener());
            exchanges.setHandover(handover);
        }
        if (config.peers() != null) {
            joinPeers();
        }
    }

    private EndpointWatch.WatchOptions manner() {
        return new EndpointWatch.WatchOptions(config.settings().seed(), config.listIsPushed());
    }

    private void joinPeers() throws ConfigException {
        try {
            peers =
                    new MembershipService(
                            loop,
                            config.peers(),
                            config.name(),
                            config.settings().seed(),
                            config.meeting() != null);
        } catch (IOException e) {
            throw new ConfigException("peering.listen", "cannot be used: " + e.getMessage());
        }
        exchanges.setShares(peers);
    }

    /** Last of all: from here on clients come. */
    private void listen() throws ConfigException {
        if (exchanges.isDraining()) {
            // Told to end while it asked its predecessor: nobody should begin to send here.
            listening.complete(null);
            return;
        }
        try {
            // A process that is to take this one's place begins beside it, where there is a door to
            // ask it.
            clients.listen(config.listen(), config.admin() != null);
        } catch (IOException e) {
            throw new ConfigException("listen", "cannot be used: " + e.getMessage());
        }
        // With the port that it got: 0 leaves the choice to the system.
        LOG.info(
                "{} listens on {}:{}",
                config.name(),
                config.listen().getHostString(),
                clients.port());
        listensToClients = true;
        if (handover != null) {
            handover.serving();
        }
        if (peers != null) {
            peers.begin();
        }
        listening.complete(null);
    }

    private void openDoor() throws ConfigException {
        door = new AdminServer(loop, this);
        try {
            door.listen(config.admin());
        } catch (IOException e) {
            throw new ConfigException("admin", "cannot be used: " + e.getMessage());
        }
        LOG.info("operators call {}:{}", config.admin().getHostString(), door.port());
    }

    private EndpointList known() throws ConfigException {
        try {
            return EndpointList.decode(config.known());
        } catch (IOException e) {
            throw new ConfigException("known", "is no list of workers: " + e.getMessage());
        }
    }

    private int part(double part) {
        int forOperators =
                config.admin() == null ? 0 : AdminServer.DESCRIPTORS + Handover.DESCRIPTORS;
        return (int) (part * (config.sockets() - OWN_SOCKETS - forOperators));
    }

    public int port() {
        return clients.port();
    }

    /** Of the operators' door, which there must be. */
    public int adminPort() {
        return door.port();
    }

    @Override
    public String notReadyReason() {
        return exchanges.isDraining() ? "draining" : listensToClients ? null : "starting";
    }

    @Override
    public Counters counters() {
        return counters;
    }

    @Override
    public Gauges gauges() {
        return exchanges.gauges();
    }

    @Override
    public String membersText() {
        return peers == null ? null : peers.text();
    }

    /**
     * From any thread: applies what can be of a configuration read anew; a faulty one changes
     * nothing.
     */
    public void reload(Callable<Config> reader) {
        loop.post(
                () -> {
                    try {
                        apply(reader.call());
                    } catch (Exception e) {
                        LOG.warn("the new configuration is not used: {}", e.getMessage());
                    }
                });
    }

    private void apply(Config fresh) {
        config.waitingForRestart(fresh)
                .forEach(key -> LOG.warn("a change of '{}' waits for a restart", key));
        if (fresh.discovery().equals(discovery)) {
            LOG.info("read again: discovery stays {}", discovery);
            return;
        }
        discovery = fresh.discovery();
        LOG.info("read again: discovery is {} now", discovery);
        EndpointWatch next =
                new EndpointWatch(
                        loop, discovery, counters, exchanges, EndpointWatch.NO_VERSION, manner());
        exchanges.setWatch(next);
        next.hurry();
    }

    /**
     * From any thread, and at any time from the making on: answers what was taken, then returns.
     */
    public void drain() throws Exception {
        loop.post(this::beginDrain);
        drained.await();
        if (lastFigures != null) {
            LOG.info("at the end\n{}", lastFigures);
        }
        loop.stop();
    }

    /** Null before the end. */
    String figuresAtTheEnd() {
        return lastFigures;
    }

    private void beginDrain() {
        if (listening.isCompletedExceptionally()) {
            return;
        }
        double end = loop.now() + Math.min(LONGEST_DRAIN, config.longestOuterLimit()) + SPARE;
        exchanges.drain(end);
        // Where another one listens already, new connections are better off with it at once.
        loop.schedule(
                exchanges.hasSuccessor() ? 0 : STILL_LISTENING,
                () -> {
                    clients.stopListening();
                    look(end);
                });
    }

    private void look(double end) {
        if (loop.now() >= end) {
            exchanges.giveUpAll();
            loop.schedule(
                    LAST_BYTES,
                    () -> {
                        clients.lastLook();
                        end();
                    });
        } else if (isQuiet()) {
            // What is handed over while the last bytes leave is answered too.
            loop.schedule(
                    LAST_BYTES,
                    () -> {
                        if (isQuiet()) {
                            clients.lastLook();
                        }
                        if (isQuiet()) {
                            end();
                        } else {
                            look(end);
                        }
                    });
        } else {
            loop.schedule(LOOK, () -> look(end));
        }
    }

    /** Nothing is unanswered, and nobody is about to hand over more. */
    private boolean isQuiet() {
        boolean mustWaitForClients = !exchanges.closesAfterResponse() || exchanges.hasSuccessor();
        return exchanges.unanswered() == 0
                && !clients.expects()
                && (!mustWaitForClients || clients.open() == 0);
    }

    private void end() {
        if (handover != null) {
            handover.end();
        }
        if (peers != null) {
            peers.leave();
        }
        lastFigures = exchanges.metrics();
        drained.countDown();
    }

    /** What follows from the other processes of this dispatcher. */
    private final class HandoverListener implements Handover.Listener {
        @Override
        public void onStateTransferred() {
            starting(Service.this::listen);
        }

        @Override
        public void onProcessesChanged() {
            exchanges.setProcessCount(handover.processes());
            workers.sharedBy(handover.processes());
            clients.sharedBy(handover.processes());
            if (peers != null && listensToClients) {
                peers.succeeded(handover.hasSuccessor());
            }
            if (handover.hasSuccessor() && exchanges.isDraining()) {
                clients.stopListening();
            }
        }
    }
}
