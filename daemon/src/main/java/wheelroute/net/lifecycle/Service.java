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
import wheelroute.net.memory.HeapBudget;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * A dispatcher process that serves clients on network sockets. {@link #start}, {@link #reload} and
 * {@link #drain} are called by other threads; everything else runs on the event loop's thread.
 */
public final class Service implements ServiceStatus {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    private final Config config;
    private final EventLoop loop;
    private final Counters counters;
    private final HeapBudget heapBudget;
    private final WorkerConnectionPools workers;
    private final ConfigReload reload;

    /**
     * Completed once clients are accepted or a drain has made that unnecessary, or exceptionally if
     * the start fails.
     */
    private final CompletableFuture<Void> startResult = new CompletableFuture<>();

    private final CountDownLatch drained = new CountDownLatch(1);

    /** The components; null until the first task of the event loop has created them. */
    private ServiceComponents components;

    private boolean acceptsClients;

    /**
     * The metrics at the end of the drain; null before. Written by the event loop's thread, which
     * owns the counters.
     */
    private volatile String finalMetrics;

    /** Creates a service that is not running yet. */
    public Service(Config config) {
        this(config, new EventLoop(new Clock(), config.connectTimeoutSeconds()));
    }

    /** Creates a service on a given event loop, with which a test can delay events. */
    public Service(Config config, EventLoop loop) {
        this(config, loop, HeapBudget.ofProcess(DescriptorBudget.maxClientConnections(config)));
    }

    /** Creates a service on a given event loop and with a given budget of memory. */
    public Service(Config config, EventLoop loop, HeapBudget heapBudget) {
        this.config = config;
        this.loop = loop;
        this.heapBudget = heapBudget;
        counters =
                new Counters(
                        config.settings().requestClasses().stream()
                                .map(Settings.RequestClass::id)
                                .toList());
        workers =
                new WorkerConnectionPools(
                        loop,
                        counters,
                        heapBudget.responses(),
                        DescriptorBudget.workerConnections(config),
                        config.idleTimeoutSeconds());
        reload = new ConfigReload(config);
        // Posted before any other task, because a signal may arrive before the start is complete.
        loop.post(() -> runStartStep(this::begin));
    }

    /**
     * Starts the service and returns once clients are accepted. Must not be called on the event
     * loop's thread.
     *
     * @throws ConfigException if a configured value cannot be used, such as an address in use
     * @throws Exception if the start fails for another reason
     */
    public void start() throws Exception {
        loop.start();
        try {
            startResult.get();
        } catch (ExecutionException e) {
            loop.stop();
            // A concurrent drain() must not wait, because there is nothing to drain.
            drained.countDown();
            throw e.getCause() instanceof ConfigException configException ? configException : e;
        }
    }

    private interface StartStep {
        void run() throws ConfigException;
    }

    /** Runs a step of the start. A failure of the step makes {@link #start} fail. */
    private void runStartStep(StartStep step) {
        try {
            step.run();
        } catch (ConfigException | RuntimeException e) {
            startResult.completeExceptionally(e);
        }
    }

    private void begin() throws ConfigException {
        components =
                new ServiceComponents(
                        config, loop, counters, heapBudget, workers, this, new HandoverListener());
        if (components.handover == null) {
            listen();
        } else {
            components.handover.importFromPredecessor();
        }
    }

    /** Starts to accept clients, which completes the start of the service. */
    private void listen() throws ConfigException {
        if (components.dispatcher.isDraining()) {
            // The drain began during the transfer of state, so clients must not connect any more.
            startResult.complete(null);
            return;
        }
        components.listen();
        acceptsClients = true;
        if (components.handover != null) {
            components.handover.onServing();
        }
        if (components.membership != null) {
            components.membership.start();
        }
        startResult.complete(null);
    }

    /**
     * Returns the port that clients connect to. Must not be called before {@link #start} has
     * returned.
     */
    public int port() {
        return components.clients.port();
    }

    /**
     * Returns the port of the admin server, which must be configured. Must not be called before
     * {@link #start} has returned.
     */
    public int adminPort() {
        return components.admin.port();
    }

    @Override
    public String notReadyReason() {
        // The components are null at the beginning of the start, and if their creation failed.
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
        return components.membership == null ? null : components.membership.membersText();
    }

    /**
     * Reads the configuration again and applies it as far as possible without a restart. If the
     * configuration cannot be read, a warning is logged and nothing changes. May be called from any
     * thread.
     *
     * @param reader reads the configuration; is called on the event loop's thread
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

    /**
     * Answers all accepted requests, stops the service and then returns. Requests that are still
     * open at the deadline are answered as rejected or failed. May be called at any time, even
     * before {@link #start}, from any thread but the event loop's.
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
        if (!startResult.isCompletedExceptionally()) {
            new GracefulShutdown(loop, components, config.maxTimeoutSeconds(), this::finishDrain)
                    .begin();
        }
    }

    private void finishDrain() {
        if (components.handover != null) {
            components.handover.close();
        }
        if (components.membership != null) {
            components.membership.leave();
        }
        finalMetrics = components.dispatcher.metrics();
        drained.countDown();
    }

    /**
     * Returns the metrics at the end of the drain, or null before. May be called from any thread.
     */
    public String finalMetrics() {
        return finalMetrics;
    }

    /** Reacts to the other processes of this dispatcher. */
    private final class HandoverListener implements Handover.Listener {
        @Override
        public void onStateTransferred() {
            runStartStep(Service.this::listen);
        }

        @Override
        public void onProcessesChanged() {
            Handover handover = components.handover;
            components.dispatcher.setProcessCount(handover.processCount());
            workers.setProcessCount(handover.processCount());
            components.clients.setProcessCount(handover.processCount());
            if (components.membership != null && acceptsClients) {
                components.membership.onSuccessorChanged(handover.hasSuccessor());
            }
            if (handover.hasSuccessor() && components.dispatcher.isDraining()) {
                components.clients.stopListening();
            }
        }
    }
}
