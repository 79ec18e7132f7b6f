package wheelroute.decision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/** Calls one policy with the events of a test and records its actions as text. */
public final class PolicyHarness implements ActionHandler {
    public static final double START_SECONDS = 100;
    public static final double TIMEOUT_SECONDS = 10;
    private static final int MAX_REQUESTS = 40;

    /** Default settings whose values a test may change. */
    public static final class SettingsFixture {
        public Idempotency idempotency = Idempotency.IDEMPOTENT;
        public IdempotencyScope idempotencyScope = IdempotencyScope.CELL;
        public double idempotencyWindowSeconds = 20;
        public boolean mayHedge = true;
        public boolean watchesEndpoints;
        public boolean reportsStart = true;
        public double progressIntervalSeconds;
        public int maxAttempts = 6;
        public int dispatchers = 1;
        public int position = -1;
        public double maxRetryAfterSeconds = 2;
        public boolean ordered;
        public double keyQuietPeriodSeconds = 0.2;
        public boolean removalIsAdvisory;
        public double batchPriorityWeight = 3;
        public double drainGraceSeconds = 2;

        public Settings settings() {
            return new Settings(
                    7,
                    new Ids.Zone("here"),
                    dispatchers,
                    position,
                    0.005,
                    List.of(
                            requestClass("job", 1, 3),
                            requestClass("batch", 8, batchPriorityWeight)),
                    Map.of(new Ids.Tenant("t"), 10.0, new Ids.Tenant("greedy"), 10.0),
                    0.1,
                    watchesEndpoints,
                    reportsStart,
                    progressIntervalSeconds,
                    true,
                    true,
                    mayHedge,
                    maxRetryAfterSeconds > 0,
                    maxRetryAfterSeconds,
                    maxAttempts,
                    0.25,
                    20,
                    4,
                    3,
                    0,
                    0,
                    removalIsAdvisory,
                    keyQuietPeriodSeconds,
                    drainGraceSeconds);
        }

        private Settings.RequestClass requestClass(
                String name, double latencyObjectiveSeconds, double priorityWeight) {
            return new Settings.RequestClass(
                    new Ids.RequestClass(name),
                    idempotency,
                    idempotencyScope,
                    latencyObjectiveSeconds,
                    2,
                    priorityWeight,
                    0.3,
                    idempotencyWindowSeconds,
                    null,
                    ordered);
        }
    }

    public final Policy policy;
    public final List<String> actions = new ArrayList<>();

    /** The times of the scheduled wakeups, in seconds. */
    public final List<Double> wakeups = new ArrayList<>();

    /** The advice to retry in the last rejection, in seconds. */
    public double retryAfterSeconds;

    public double now = START_SECONDS;
    private long lastId;

    public PolicyHarness(SettingsFixture fixture) {
        policy = new Policy(fixture.settings(), this);
        policy.advanceTo(now);
    }

    /** Returns the content of the buffers as one text. */
    public static String text(ByteBuffer[] buffers) {
        StringBuilder text = new StringBuilder();
        for (ByteBuffer buffer : buffers) {
            text.append(StandardCharsets.UTF_8.decode(buffer));
        }
        return text.toString();
    }

    public static PolicyHarness of(Idempotency idempotency, IdempotencyScope scope) {
        SettingsFixture fixture = new SettingsFixture();
        fixture.idempotency = idempotency;
        fixture.idempotencyScope = scope;
        return new PolicyHarness(fixture);
    }

    static Endpoint endpoint(
            long id, long cell, String zone, double startedAt, Endpoint.State state) {
        return new Endpoint(
                new Ids.Worker(id),
                new Ids.Model("m"),
                1,
                new Ids.Zone(zone),
                startedAt,
                new Ids.Cell(cell),
                state);
    }

    /**
     * Lists the first {@code count} workers as the complete endpoint list. Workers 1 and 2 share a
     * cell, worker 3 is in the same zone, and worker 4 is in another zone.
     */
    public PolicyHarness listWorkers(int count) {
        List<Endpoint> all =
                List.of(
                        readyWorker(1, 1, "here"),
                        readyWorker(2, 1, "here"),
                        readyWorker(3, 2, "here"),
                        readyWorker(4, 3, "there"));
        policy.onEndpoints(all.subList(0, count), true);
        return this;
    }

    private static Endpoint readyWorker(long id, long cell, String zone) {
        return endpoint(id, cell, zone, Double.NaN, Endpoint.State.READY);
    }

    public PolicyHarness updateWorker(long id, double startedAt, Endpoint.State state) {
        String zone = id == 4 ? "there" : "here";
        policy.onEndpoints(
                List.of(endpoint(id, id < 3 ? 1 : id - 1, zone, startedAt, state)), false);
        return this;
    }

    public PolicyHarness advance(double seconds) {
        now += seconds;
        policy.advanceTo(now);
        return this;
    }

    /** Advances the time in steps of 0.1 s, with a wakeup after each. */
    public PolicyHarness advanceWithWakeups(int steps) {
        for (int i = 0; i < steps; i++) {
            advance(0.1).policy.onWakeup();
        }
        return this;
    }

    public RequestHandle accept(double estimatedWork) {
        return accept(estimatedWork, now + TIMEOUT_SECONDS);
    }

    public RequestHandle accept(double estimatedWork, double deadline) {
        return accept("job", estimatedWork, deadline);
    }

    public RequestHandle accept(String requestClass, double estimatedWork, double deadline) {
        return accept(requestClass, "t", estimatedWork, deadline);
    }

    public RequestHandle accept(
            String requestClass, String tenant, double estimatedWork, double deadline) {
        return accept(requestClass, tenant, estimatedWork, deadline, null);
    }

    public RequestHandle accept(
            String requestClass, String tenant, double estimatedWork, double deadline, String key) {
        return accept(requestClass, tenant, estimatedWork, deadline, key, List.of());
    }

    public RequestHandle accept(
            String requestClass,
            String tenant,
            double estimatedWork,
            double deadline,
            String key,
            List<EarlierAttempt> earlierAttempts) {
        return policy.accept(
                new Request(
                        new Ids.Request(++lastId),
                        new Ids.RequestClass(requestClass),
                        new Ids.Tenant(tenant),
                        deadline,
                        estimatedWork,
                        1,
                        0,
                        false,
                        key == null ? null : new Ids.Key(key),
                        earlierAttempts));
    }

    public void endAttempt(RequestHandle handle, int attempt, Outcome outcome) {
        handle.onEnded(attempt, outcome, outcome == Outcome.SUCCEEDED, LoadReport.NONE);
    }

    /**
     * Serves one request whose attempt starts at once and runs for the given time. Returns its
     * worker.
     */
    public long serve(double estimatedWork, double runSeconds) {
        actions.clear();
        RequestHandle handle = accept(estimatedWork);
        final long worker = lastWorker();
        handle.onStarted(0);
        advance(runSeconds);
        endAttempt(handle, 0, Outcome.SUCCEEDED);
        return worker;
    }

    /** Serves enough requests to fill the hedging budget and clears the recorded actions. */
    public PolicyHarness fillHedgingBudget() {
        for (int i = 0; i < MAX_REQUESTS; i++) {
            serve(0.1, 0.1);
        }
        actions.clear();
        return this;
    }

    /** Clears the recorded actions and accepts requests until the first rejection. */
    public void acceptUntilRejection(double estimatedWork) {
        actions.clear();
        for (int i = 0; i < MAX_REQUESTS && countActions("reject") == 0; i++) {
            accept(estimatedWork);
        }
    }

    /**
     * Serves requests one after the other. Attempts at bad workers end with the given outcome,
     * others succeed. Returns the number of attempts at bad workers.
     */
    public int attemptsAtBadWorkers(
            int requests, double estimatedWork, LongPredicate isBad, Outcome outcome) {
        int badAttempts = 0;
        for (int i = 0; i < requests; i++) {
            RequestHandle handle = accept(estimatedWork);
            for (int attempt = 0; !handle.isComplete(); attempt++) {
                boolean bad = isBad.test(lastWorker());
                badAttempts += bad ? 1 : 0;
                advance(0.02).endAttempt(handle, attempt, bad ? outcome : Outcome.SUCCEEDED);
            }
        }
        return badAttempts;
    }

    public String lastAction() {
        return actions.isEmpty() ? "" : actions.get(actions.size() - 1);
    }

    /** Returns the worker of the last attempt; 0 if the last action is not an attempt. */
    public long lastWorker() {
        String last = lastAction();
        return last.startsWith("attempt ")
                ? Long.parseLong(last.substring(last.lastIndexOf(' ') + 1))
                : 0;
    }

    public long countActions(String prefix) {
        return actions.stream().filter(action -> action.startsWith(prefix)).count();
    }

    @Override
    public void startAttempt(Ids.Request request, Ids.Worker worker, double limitSeconds) {
        actions.add("attempt " + request.value() + " " + worker.value());
    }

    @Override
    public void reject(Ids.Request request, double retryAfterSeconds) {
        actions.add("reject " + request.value());
        this.retryAfterSeconds = retryAfterSeconds;
    }

    @Override
    public void fail(Ids.Request request) {
        actions.add("fail " + request.value());
    }

    @Override
    public void cancelAttempt(Ids.Request request, int attempt) {
        actions.add("cancel " + request.value() + " " + attempt);
    }

    @Override
    public void scheduleWakeup(double delaySeconds) {
        // The time is only recorded, because the tests call onWakeup themselves.
        wakeups.add(now + delaySeconds);
    }

    @Override
    public void watchEndpoints() {
        actions.add("watch");
    }
}
