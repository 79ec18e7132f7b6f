package wheelroute.net.lifecycle;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.decision.Settings;
import wheelroute.net.admin.ServiceStatus;
import wheelroute.net.handover.Handover;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * One dispatcher on sockets: started, reloaded and drained by its process. All of its parts belong
 * to the event loop's thread.
 */
public final class Service implements ServiceStatus {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    private final Config config;
    private final EventLoop loop;
    private final Counters counters;
    private final WorkerConnectionPools workers;
    private final ConfigReload reload;

    /** Completed when clients are accepted, or exceptionally when the start fails. */
    private final CompletableFuture<Void> listening = new CompletableFuture<>();

    private final CountDownLatch drained = new CountDownLatch(1);

    /** Made by the first event on the loop. */
    private ServiceComponents components;

    private boolean acceptsClients;

    /** Written by the loop's thread, which alone may read the counters; null before the end. */
    private volatile String finalMetrics;

    /** Makes a service that is not running yet. */
    public Service(Config config) {
        this(config, new EventLoop(new Clock(), config.connectTimeoutSeconds()));
    }

    /** With a loop of the caller's, which may hold back what a test wants to come late. */
    public Service(Config config, EventLoop loop) {
        this.config = config;
        this.loop = loop;
        counters =
                new Counters(
                        config.settings().requestClasses().stream()
                                .map(Settings.RequestClass::id)
                                .toList());
        workers =
                new WorkerConnectionPools(
                        loop,
                        counters,
                        DescriptorBudget.workerConnections(config),
                        config.idleTimeoutSeconds());
        reload = new ConfigReload(config);
        // Ahead of all else that may be posted: a signal can come before the start is complete.
        loop.post(() -> runStartStep(this::begin));
    }

    // ---- start

    /**
     * Starts the service, and returns once clients are accepted.
     *
     * @throws ConfigException if a configured value cannot be used
     * @throws Exception if the start fails for another reason
     */
    public void start() throws Exception {
        loop.start();
        try {
            listening.get();
        } catch (ExecutionException e) {
            loop.stop();
            // A drain that was asked for meanwhile has nothing to wait for.
            drained.countDown();
            throw e.getCause() instanceof ConfigException fault ? fault : e;
        }
    }

    private interface StartStep {
        void run() throws ConfigException;
    }

    /** The first step that fails ends the start. */
    private void runStartStep(StartStep step) {
        try {
            step.run();
        } catch (ConfigException | RuntimeException e) {
            listening.completeExceptionally(e);
        }
    }

    private void begin() throws ConfigException {
        components =
                new ServiceComponents(
                        config, loop, counters, workers, this, new HandoverListener());
        if (components.handover == null) {
            listen();
        } else {
            components.handover.begin();
        }
    }

    /** The last step: from here on clients come. */
    private void listen() throws ConfigException {
        if (components.dispatcher.isDraining()) {
            // Told to end while it asked its predecessor: nobody should begin to send here.
            listening.complete(null);
            return;
        }
        components.listen();
        acceptsClients = true;
        if (components.handover != null) {
            components.handover.serving();
        }
        if (components.peers != null) {
            components.peers.begin();
        }
        listening.complete(null);
    }

    // ---- status

    /** The port that clients connect to; only after {@link #start}. */
    public int port() {
        return components.clients.port();
    }

    /** The administrative port, which must be configured; only after {@link #start}. */
    public int adminPort() {
        return components.admin.port();
    }

    @Override
    public String notReadyReason() {
        // Null while it starts, and when the start has failed.
        if (components != null && components.dispatcher.isDraining()) {
            return "draining";
        }
        return acceptsClients ? null : "starting";
    }

    @Override
    public Counters counters() {
        return counters;
    }

    @Override
    public Gauges gauges() {
        return components.dispatcher.gauges();
    }

    @Override
    public String membersText() {
        return components.peers == null ? null : components.peers.membersText();
    }

    // ---- reload

    /**
     * Applies what can be of a configuration that has been read anew; a faulty one changes nothing.
     * From any thread.
     *
     * @param reader reads the configuration, on the event loop's thread
     */
    public void reload(Callable<Config> reader) {
        loop.post(
                () -> {
                    try {
                        reload.apply(reader.call(), components);
                    } catch (Exception e) {
                        LOG.warn("reload rejected, configuration unchanged: {}", e.getMessage());
                    }
                });
    }

    // ---- graceful shutdown

    /**
     * Answers all requests that were accepted, stops, and then returns. From any thread, and at any
     * time, also before {@link #start}.
     */
    public void drain() throws Exception {
        loop.post(this::beginDrain);
        drained.await();
        if (finalMetrics != null) {
            LOG.info("final metrics\n{}", finalMetrics);
        }
        loop.stop();
    }

    private void beginDrain() {
        if (!listening.isCompletedExceptionally()) {
            new GracefulShutdown(loop, components, config.maxTimeoutSeconds(), this::finishDrain)
                    .begin();
        }
    }

    private void finishDrain() {
        if (components.handover != null) {
            components.handover.end();
        }
        if (components.peers != null) {
            components.peers.leave();
        }
        finalMetrics = components.dispatcher.metrics();
        drained.countDown();
    }

    /** The metrics as they were at the end of the drain; null before. */
    public String finalMetrics() {
        return finalMetrics;
    }

    /** What follows from the other processes of this dispatcher. */
    private final class HandoverListener implements Handover.Listener {
        @Override
        public void onStateTransferred() {
            runStartStep(Service.this::listen);
        }

        @Override
        public void onProcessesChanged() {
            Handover handover = components.handover;
            components.dispatcher.setProcessCount(handover.processes());
            workers.setProcessCount(handover.processes());
            components.clients.setProcessCount(handover.processes());
            if (components.peers != null && acceptsClients) {
                components.peers.onSuccessorChanged(handover.hasSuccessor());
            }
            if (handover.hasSuccessor() && components.dispatcher.isDraining()) {
                components.clients.stopListening();
            }
        }
    }
}
