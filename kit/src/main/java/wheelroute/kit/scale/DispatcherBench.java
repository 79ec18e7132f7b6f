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
 * One dispatcher process with stub workers and a stub discovery of its own, which is ready and has
 * its endpoint list once the constructor returns. Used by one thread.
 */
final class DispatcherBench implements AutoCloseable {
    /** Requests of a warm-up, which are also those whose cost counts as that of a cold process. */
    static final int WARM_UP_REQUESTS = 500;

    static final int MEMORY_MB = 128;
    static final double CLIENT_TIMEOUT_SECONDS = 600;

    /** A capacity of discovery that is never the bottleneck. */
    private static final double UNLIMITED_CALLS_PER_SECOND = 100_000;

    private static final int MAX_SOCKETS = 16_000;
    private static final double CONDITION_TIMEOUT_SECONDS = 30;
    private static final int CONDITION_POLL_MILLIS = 20;
    private static final double WORK_SECONDS = 0.02;
    private static final long LOAD_SEED = 7;

    // Few connections, so that a process that has just started is not overloaded.
    private static final int WARM_UP_CONNECTIONS = 2;
    private static final double WARM_UP_WORK_SECONDS = 0.001;
    private static final double WARM_UP_TIMEOUT_SECONDS = 120;

    /**
     * What the dispatcher used on average over a time.
     *
     * @param cores processor seconds per second
     * @param discoveryBytesPerSecond that discovery sent to it
     */
    record ResourceUse(double cores, double discoveryBytesPerSecond) {}

    private final ScaleEnvironment environment;
    private final EventLoop loop;
    private final StubWorkers workers;
    private final DiscoveryService discovery;
    private final MeasuredDaemon daemon;
    private final double readySeconds;
    private final double listedSeconds;

    /** The next endpoint change; null while none is scheduled. On the event loop's thread. */
    private EventLoop.Timer nextChange;

    /**
     * Starts the stubs and the dispatcher.
     *
     * @throws RehearsalException if the dispatcher does not get its list in time
     */
    DispatcherBench(ScaleEnvironment environment, int workerCount, int tenantCount)
            throws IOException, RehearsalException {
        this.environment = environment;
        loop = environment.loop();
        workers = environment.callOnLoop(() -> new StubWorkers(loop));
        discovery =
                environment.callOnLoop(
                        () ->
                                new DiscoveryService(
                                        loop,
                                        workerCount,
                                        UNLIMITED_CALLS_PER_SECOND,
                                        workers::address));
        environment.guard().checkMayStart(MEMORY_MB);
        long startedNanos = System.nanoTime();
        daemon = startDaemon(tenantCount);
        environment.guard().onStarted(daemon);
        readySeconds = daemon.awaitReady();
        // A dispatcher opens a watch only once it has the list.
        awaitCondition(
                () -> discovery.connectionCount() == 1 && discovery.connectionsBehind() == 0,
                "a daemon did not load the endpoint list");
        listedSeconds = secondsSince(startedNanos);
    }

    private MeasuredDaemon startDaemon(int tenantCount) throws IOException, RehearsalException {
        int number = environment.nextDaemonNumber();
        String name = "r" + number;
        DispatcherConfigFile config =
                new DispatcherConfigFile(
                        discovery.address(DiscoveryService.Caller.PROCESS),
                        1,
                        tenantCount,
                        MEMORY_MB,
                        MAX_SOCKETS);
        return MeasuredDaemon.start(
                environment.directory(), name, config.json(name, number), environment.supervisor());
    }

    /** Returns the time from the start until the dispatcher listened for clients. */
    double readySeconds() {
        return readySeconds;
    }

    /** Returns the time from the start until the dispatcher had its complete list. */
    double listedSeconds() {
        return listedSeconds;
    }

    MeasuredDaemon daemon() {
        return daemon;
    }

    DiscoveryService discovery() {
        return discovery;
    }

    StubWorkers workers() {
        return workers;
    }

    /**
     * Waits until a condition holds.
     *
     * @param condition evaluated on the event loop's thread
     * @throws RehearsalException with the given message if it does not hold in time
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

    /** Changes one endpoint at a time from now on, at equal intervals. */
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

    /** Measures what the dispatcher uses during the given time. */
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
                () -> discovery.statistics(DiscoveryService.Caller.PROCESS).bytes());
    }

    /**
     * Sends the first requests of the process, in a closed loop.
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
     * Sends an open-loop load; all requests must succeed.
     *
     * @return CPU seconds per attempt
     */
    double measureAttempts(double attemptsPerSecond, double seconds, int tenantCount)
            throws IOException, RehearsalException {
        return cpuSecondsPerAttempt(
                openLoopLoad(attemptsPerSecond, WORK_SECONDS, seconds, tenantCount));
    }

    /** Returns an open-loop load on this dispatcher. */
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

    /** Stops the dispatcher and the endpoint changes; the stubs stay until the loop stops. */
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
