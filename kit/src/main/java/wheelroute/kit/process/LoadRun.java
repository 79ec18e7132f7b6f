package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.net.InetSocketAddress;
import java.net.NetworkInterface;
import java.net.SocketException;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.ResponseListener;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/**
 * Sends an open-loop or closed-loop load to one address, without retries, and measures the
 * responses. All methods except {@link #run} and {@link #isLocal} are used on the event loop's
 * thread.
 */
public final class LoadRun implements ResponseListener {
    private static final int POLL_MILLIS = 50;
    private static final double CONNECT_TIMEOUT_SECONDS = 2;
    private static final double MIN_DURATION_SECONDS = 1e-3;

    /** Delay before a connection of a closed loop sends again after a connection error. */
    private static final double RECONNECT_DELAY_SECONDS = 0.1;

    /**
     * The load to send.
     *
     * @param requestsPerSecond mean rate of an open loop, with random arrivals; 0 for a closed loop
     * @param connections number of connections of a closed loop, each with one request in flight; 0
     *     for an open loop
     * @param workSeconds mean work of a request
     * @param workSpread standard deviation of the logarithm of the work
     * @param timeoutSeconds timeout of a request
     * @param seconds period during which requests are sent
     * @param tenants number of tenants, named t0, t1 and so on, to which requests belong in
     *     rotation; 0 for none
     * @param maxRequests largest number of requests of a closed loop; 0 to limit only the time
     */
    public record Load(
            InetSocketAddress address,
            String requestClassName,
            Idempotency idempotency,
            double requestsPerSecond,
            int connections,
            double workSeconds,
            double workSpread,
            double timeoutSeconds,
            double seconds,
            long seed,
            int tenants,
            int maxRequests) {
        private boolean isClosedLoop() {
            return connections > 0;
        }

        private Scenario.RequestClass requestClass() {
            return new Scenario.RequestClass(
                    requestClassName,
                    idempotency,
                    IdempotencyScope.ALL,
                    1,
                    workSeconds,
                    workSpread,
                    0,
                    timeoutSeconds,
                    0,
                    timeoutSeconds,
                    1,
                    0,
                    0,
                    1,
                    0);
        }
    }

    /**
     * Summary of the responses to a load.
     *
     * @param text statistics as lines of text for the terminal
     */
    public record Result(int sent, long succeeded, String text) {}

    private final Load load;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT_TIMEOUT_SECONDS);
    private final SeededRandom random;
    private final ClientPool pool;
    private final Scenario.RequestClass requestClass;
    private final LoadStatistics statistics = new LoadStatistics();

    /** Keys of the attempts in flight. */
    private final Set<Long> inFlight = new HashSet<>();

    /**
     * Start of the load in seconds on the clock of the event loop; 0 before the run has started.
     */
    private double startedAt;

    private LoadRun(Load load) {
        this.load = load;
        random = new SeededRandom(load.seed());
        pool = new ClientPool(loop, load.address(), this, ConnectionBehavior.DEFAULT);
        requestClass = load.requestClass();
    }

    /**
     * Sends a load and waits until all requests have ended, at most for the period of the load and
     * one timeout.
     *
     * @param stop polled during the run; ends it early when it returns true
     * @throws RehearsalException if the run fails
     */
    public static Result run(Load load, BooleanSupplier stop) throws RehearsalException {
        LoadRun run = new LoadRun(load);
        try {
            run.loop.start();
            run.loop.post(run::start);
            run.awaitEnd(stop);
            Result result = LoopExecutor.submit(run.loop, run::result).get();
            run.loop.stop();
            return result;
        } catch (Exception e) {
            throw new RehearsalException("the load run failed: " + e, e);
        }
    }

    private void awaitEnd(BooleanSupplier stop) throws Exception {
        long deadlineNanos =
                System.nanoTime()
                        + (long) ((load.seconds() + load.timeoutSeconds()) * NANOS_PER_SECOND);
        boolean isOver = false;
        while (!isOver && !stop.getAsBoolean() && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_MILLIS);
            isOver = LoopExecutor.submit(loop, this::isOver).get();
        }
    }

    private boolean isOver() {
        return startedAt > 0
                && (loop.now() >= startedAt + load.seconds()
                        || (load.maxRequests() > 0 && statistics.sent() >= load.maxRequests()))
                && inFlight.isEmpty();
    }

    private Result result() {
        double seconds =
                Math.max(MIN_DURATION_SECONDS, Math.min(loop.now() - startedAt, load.seconds()));
        return new Result(
                statistics.sent(),
                statistics.succeeded(),
                statistics.text(seconds, inFlight.size(), load.isClosedLoop()));
    }

    private void start() {
        startedAt = loop.now();
        if (load.isClosedLoop()) {
            for (int i = 0; i < load.connections(); i++) {
                send(loop.now());
            }
        } else {
            scheduleNextArrival(startedAt);
        }
    }

    /**
     * Schedules the next request of the open loop, independently of the responses to earlier ones.
     */
    private void scheduleNextArrival(double lastArrivalAt) {
        double draw = random.uniform(SeededRandom.Purpose.ARRIVAL, statistics.sent(), 0);
        double arrivalAt = lastArrivalAt - Math.log(1 - draw) / load.requestsPerSecond();
        if (arrivalAt < startedAt + load.seconds()) {
            loop.schedule(
                    Math.max(0, arrivalAt - loop.now()),
                    () -> {
                        send(arrivalAt);
                        scheduleNextArrival(arrivalAt);
                    });
        }
    }

    private void send(double scheduledAt) {
        int number = statistics.onSent();
        double work =
                load.workSeconds()
                        * SeededRandom.lognormal(
                                random.generator(SeededRandom.Purpose.WORK, number, 0),
                                load.workSpread());
        ClientRequest request =
                new ClientRequest(
                        number,
                        scheduledAt - startedAt,
                        requestClass,
                        tenant(number),
                        work,
                        work,
                        Double.POSITIVE_INFINITY);
        ClientAttempt attempt =
                new ClientAttempt(request, 0, 0, scheduledAt, load.timeoutSeconds());
        inFlight.add(attempt.key());
        loop.schedule(load.timeoutSeconds(), () -> onTimeout(attempt));
        pool.submit(attempt);
    }

    private Scenario.Tenant tenant(int number) {
        return load.tenants() == 0
                ? Scenario.Tenant.NONE
                : new Scenario.Tenant("t" + number % load.tenants(), 1, 0);
    }

    /**
     * Sends the next request of a connection of a closed loop after a delay; does nothing in an
     * open loop or after the end of the load.
     */
    private void sendNext(double delaySeconds) {
        if (load.isClosedLoop()
                && loop.now() < startedAt + load.seconds()
                && (load.maxRequests() == 0 || statistics.sent() < load.maxRequests())) {
            loop.schedule(delaySeconds, () -> send(loop.now()));
        }
    }

    private void onTimeout(ClientAttempt attempt) {
        if (inFlight.remove(attempt.key())) {
            statistics.onTimeout();
            pool.cancel(attempt);
            sendNext(0);
        }
    }

    @Override
    public void onResponse(ClientAttempt attempt, FinalResponse response, double retryAfter) {
        if (inFlight.remove(attempt.key())) {
            // Latency counts from the scheduled time, so that it includes delays of this process.
            statistics.onResponse(response, loop.now() - attempt.sentAt());
            sendNext(0);
        }
    }

    @Override
    public void onRefused(ClientAttempt attempt) {
        if (inFlight.remove(attempt.key())) {
            statistics.onRefused();
            sendNext(RECONNECT_DELAY_SECONDS);
        }
    }

    @Override
    public void onConnectionLost(ClientAttempt attempt) {
        if (inFlight.remove(attempt.key())) {
            statistics.onConnectionLost();
            sendNext(RECONNECT_DELAY_SECONDS);
        }
    }

    /** Whether an address belongs to this machine. Loads must not be sent to other machines. */
    public static boolean isLocal(InetSocketAddress address) {
        try {
            return address.getAddress().isLoopbackAddress()
                    || NetworkInterface.getByInetAddress(address.getAddress()) != null;
        } catch (SocketException e) {
            return false;
        }
    }
}
