package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;
import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.util.concurrent.Callable;
import wheelroute.decision.Idempotency;
import wheelroute.kit.process.LoadRun;
import wheelroute.kit.process.RehearsalException;
import wheelroute.net.loop.EventLoop;

/**
 * One dispatcher process with its own stub workers and stub discovery. The dispatcher is ready and
 * has loaded its endpoint list when the constructor returns. Used by one thread.
 */
final class DispatcherBench implements AutoCloseable {
    /** Number of requests in a warm-up; their cost is recorded as that of a cold process. */
    static final int WARM_UP_REQUESTS = 500;

    static final int MEMORY_MB = 128;
    static final double CLIENT_TIMEOUT_SECONDS = 600;

    /** Capacity of discovery that is high enough never to be the bottleneck. */
    private static final double UNLIMITED_CALLS_PER_SECOND = 100_000;

    private static final int MAX_SOCKETS = 16_000;
    private static final double CONDITION_TIMEOUT_SECONDS = 30;
    private static final int CONDITION_POLL_MILLIS = 20;
    private static final double WORK_SECONDS = 0.02;
    private static final long LOAD_SEED = 7;

    // The warm-up uses few connections, so that it does not overload a process that has just
    // started.
    private static final int WARM_UP_CONNECTIONS = 2;
    private static final double WARM_UP_WORK_SECONDS = 0.001;
    private static final double WARM_UP_TIMEOUT_SECONDS = 120;

    /**
     * Resource use of the dispatcher, averaged over a period.
     *
     * @param cores CPU seconds per second
     * @param discoveryBytesPerSecond rate of bytes that discovery sent to the dispatcher
     */
    record ResourceUse(double cores, double discoveryBytesPerSecond) {}

    private final ScaleEnvironment environment;
    private final EventLoop loop;
    private final StubWorkers workers;
    private final RateLimitedDiscovery discovery;
    private final MeasuredDaemon daemon;
    private final double readySeconds;
    private final double endpointListSeconds;

    /** Timer of the next endpoint change, or null. Accessed on the event loop's thread only. */
    private EventLoop.Timer nextChange;

    /**
     * Starts the stubs and the dispatcher.
     *
     * @throws RehearsalException if the dispatcher does not load its endpoint list in time
     */
    DispatcherBench(ScaleEnvironment environment, int workerCount, int tenantCount)
            throws IOException, RehearsalException {
        this.environment = environment;
        loop = environment.loop();
        workers = environment.callOnLoop(() -> new StubWorkers(loop));
        discovery =
                environment.callOnLoop(
                        () ->
                                new RateLimitedDiscovery(
                                        loop,
                                        workerCount,
                                        UNLIMITED_CALLS_PER_SECOND,
                                        workers::address));
        environment.guard().checkMayStart(MEMORY_MB);
        long startedNanos = System.nanoTime();
        daemon = startDaemon(tenantCount);
        environment.guard().onStarted(daemon);
        readySeconds = daemon.awaitReady();
        // A dispatcher opens a watch only after it has loaded the list.
        awaitCondition(
                () -> discovery.connectionCount() == 1 && discovery.connectionsBehind() == 0,
                "a daemon did not load the endpoint list");
        endpointListSeconds = secondsSince(startedNanos);
    }

    private MeasuredDaemon startDaemon(int tenantCount) throws IOException, RehearsalException {
        int number = environment.nextDaemonNumber();
        String name = "r" + number;
        DispatcherConfigFile config =
                new DispatcherConfigFile(
                        discovery.address(RateLimitedDiscovery.Caller.PROCESS),
                        1,
                        tenantCount,
                        MEMORY_MB,
                        MAX_SOCKETS);
        return MeasuredDaemon.start(
                environment.directory(), name, config.json(name, number), environment.supervisor());
    }

    /** Returns the seconds from the start until the dispatcher listened for clients. */
    double readySeconds() {
        return readySeconds;
    }

    /** Returns the seconds from the start until the dispatcher had loaded the complete list. */
    double endpointListSeconds() {
        return endpointListSeconds;
    }

    MeasuredDaemon daemon() {
        return daemon;
    }

    RateLimitedDiscovery discovery() {
        return discovery;
    }

    StubWorkers workers() {
        return workers;
    }

    /**
     * Waits until a condition holds.
     *
     * @param condition evaluated on the event loop's thread
     * @throws RehearsalException with the given message if the condition does not hold in time or
     *     the dispatcher exits before
     */
    void awaitCondition(Callable<Boolean> condition, String timeoutMessage)
            throws RehearsalException, IOException {
        long deadlineNanos =
                System.nanoTime() + (long) (CONDITION_TIMEOUT_SECONDS * NANOS_PER_SECOND);
        while (!environment.callOnLoop(condition)) {
            environment.guard().checkLimits();
            if (System.nanoTime() > deadlineNanos || !daemon.isAlive()) {
                throw new RehearsalException(timeoutMessage);
            }
            ScaleEnvironment.sleepMillis(CONDITION_POLL_MILLIS);
        }
    }

    /** Starts to change one endpoint at a time, at equal intervals, until the bench is closed. */
    void startChanges(double changesPerSecond) throws RehearsalException {
        environment.runOnLoop(() -> scheduleChange(1 / changesPerSecond));
    }

    private void scheduleChange(double intervalSeconds) {
        nextChange =
                loop.schedule(
                        intervalSeconds,
                        () -> {
                            discovery.changeEndpoints(1);
                            scheduleChange(intervalSeconds);
                        });
    }

    /** Measures the resource use of the dispatcher during the given time. */
    ResourceUse measureUse(double seconds) throws IOException, RehearsalException {
        long bytesBefore = discoveryBytes();
        double cpuBefore = daemon.cpuSeconds();
        long startedNanos = System.nanoTime();
        ScaleEnvironment.sleepMillis((long) (seconds * MILLIS_PER_SECOND));
        double elapsedSeconds = secondsSince(startedNanos);
        double cpuSeconds = daemon.cpuSeconds() - cpuBefore;
        environment.guard().checkLimits();
        long bytes = discoveryBytes() - bytesBefore;
        return new ResourceUse(cpuSeconds / elapsedSeconds, bytes / elapsedSeconds);
    }

    private long discoveryBytes() throws RehearsalException {
        return environment.callOnLoop(
                () -> discovery.statistics(RateLimitedDiscovery.Caller.PROCESS).bytes());
    }

    /**
     * Sends the first requests to the process, as a closed-loop load.
     *
     * @return CPU seconds per attempt
     */
    double warmUp(int tenantCount) throws IOException, RehearsalException {
        return cpuSecondsPerAttempt(
                new LoadRun.Load(
                        daemon.address(),
                        DispatcherConfigFile.REQUEST_CLASS,
                        Idempotency.IDEMPOTENT,
                        0,
                        WARM_UP_CONNECTIONS,
                        WARM_UP_WORK_SECONDS,
                        0,
                        CLIENT_TIMEOUT_SECONDS,
                        WARM_UP_TIMEOUT_SECONDS,
                        LOAD_SEED,
                        tenantCount,
                        WARM_UP_REQUESTS));
    }

    /**
     * Sends an open-loop load, all requests of which must succeed.
     *
     * @return CPU seconds per attempt
     */
    double measureAttempts(double attemptsPerSecond, double seconds, int tenantCount)
            throws IOException, RehearsalException {
        return cpuSecondsPerAttempt(
                openLoopLoad(attemptsPerSecond, WORK_SECONDS, seconds, tenantCount));
    }

    /** Returns the description of an open-loop load on this dispatcher. */
    LoadRun.Load openLoopLoad(
            double requestsPerSecond, double workSeconds, double seconds, int tenantCount) {
        return new LoadRun.Load(
                daemon.address(),
                DispatcherConfigFile.REQUEST_CLASS,
                Idempotency.IDEMPOTENT,
                requestsPerSecond,
                0,
                workSeconds,
                0,
                CLIENT_TIMEOUT_SECONDS,
                seconds,
                LOAD_SEED,
                tenantCount,
                0);
    }

    private double cpuSecondsPerAttempt(LoadRun.Load load) throws IOException, RehearsalException {
        double cpuBefore = daemon.cpuSeconds();
        LoadRun.Result result = LoadRun.run(load, environment::isStopped);
        if (!environment.isStopped() && result.succeeded() < result.sent()) {
            throw new RehearsalException(
                    result.succeeded()
                            + " of "
                            + result.sent()
                            + " requests succeeded: "
                            + result.text());
        }
        return (daemon.cpuSeconds() - cpuBefore) / Math.max(1, result.sent());
    }

    private static double secondsSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_SECOND;
    }

    /** Stops the dispatcher and the endpoint changes; the stubs run until the loop stops. */
    @Override
    public void close() throws RehearsalException {
        environment.guard().onEnded(daemon);
        daemon.close();
        environment.runOnLoop(
                () -> {
                    if (nextChange != null) {
                        nextChange.cancel();
                    }
                });
    }
}
