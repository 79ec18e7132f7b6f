package wheelroute.decision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/** One policy, what it did so far, and short ways to tell it what happens. */
public final class PolicyHarness implements ActionHandler {
    static final double START = 100;
    public static final double TIMEOUT = 10;
    private static final int MAX_REQUESTS = 40;

    /** The settings a case may vary, with plain values to start from. */
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
        public double retryAfter = 2;
        public boolean ordered;
        public double keyQuietPeriodSeconds = 0.2;
        public boolean removalIsAdvisory;
        public double patientValue = 3;
        public double drainGraceSeconds = 2;

        public Settings settings() {
            return new Settings(
                    7,
                    new Ids.Zone("here"),
                    dispatchers,
                    position,
                    0.005,
                    List.of(requestClass("job", 1, 3), requestClass("patient", 8, patientValue)),
                    Map.of(new Ids.Tenant("t"), 10.0, new Ids.Tenant("greedy"), 10.0),
                    0.1,
                    watchesEndpoints,
                    reportsStart,
                    progressIntervalSeconds,
                    true,
                    true,
                    mayHedge,
                    retryAfter > 0,
                    retryAfter,
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

    /** When wakes were asked for. */
    public final List<Double> wakes = new ArrayList<>();

    /** The last rejection's advice. */
    public double retryAfter;

    public double now = START;
    private long lastId;

    public PolicyHarness(SettingsFixture given) {
        policy = new Policy(given.settings(), this);
        policy.advanceTo(now);
    }

    /** A message's buffers as one text. */
    public static String text(ByteBuffer[] parts) {
        StringBuilder text = new StringBuilder();
        for (ByteBuffer part : parts) {
            text.append(StandardCharsets.UTF_8.decode(part));
        }
        return text.toString();
    }

    public static PolicyHarness of(Idempotency idempotency, IdempotencyScope scope) {
        SettingsFixture given = new SettingsFixture();
        given.idempotency = idempotency;
        given.idempotencyScope = scope;
        return new PolicyHarness(given);
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
     * Workers 1 and 2 share a cell; 3 shares their zone; 4 is elsewhere. The first so many are
     * listed.
     */
    public PolicyHarness list(int count) {
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

    public PolicyHarness update(long id, double startedAt, Endpoint.State state) {
        String zone = id == 4 ? "there" : "here";
        policy.onEndpoints(
                List.of(endpoint(id, id < 3 ? 1 : id - 1, zone, startedAt, state)), false);
        return this;
    }

    public PolicyHarness pass(double seconds) {
        now += seconds;
        policy.advanceTo(now);
        return this;
    }

    /** Passes with a wake every tenth of a second. */
    public PolicyHarness sweep(int wakes) {
        for (int i = 0; i < wakes; i++) {
            pass(0.1).policy.onWakeup();
        }
        return this;
    }

    public RequestHandle accept(double estimatedWork) {
        return accept(estimatedWork, now + TIMEOUT);
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
                        key == null ? null : new Ids.Key(key)));
    }

    public void end(RequestHandle handle, int attempt, Outcome outcome) {
        handle.onEnded(attempt, outcome, outcome == Outcome.SUCCEEDED, LoadReport.NONE);
    }

    /** Runs one request to its answer: taken, started at once, answered after so long. */
    public long serve(double estimatedWork, double run) {
        actions.clear();
        RequestHandle handle = accept(estimatedWork);
        final long worker = lastWorker();
        handle.onStarted(0);
        pass(run);
        end(handle, 0, Outcome.SUCCEEDED);
        return worker;
    }

    /** Serves enough to have earned a copy or two; what was done is forgotten. */
    public PolicyHarness earnHedges() {
        for (int i = 0; i < MAX_REQUESTS; i++) {
            serve(0.1, 0.1);
        }
        actions.clear();
        return this;
    }

    /** Requests until the first rejection; what was done before is forgotten. */
    public void fill(double estimatedWork) {
        actions.clear();
        for (int i = 0; i < MAX_REQUESTS && count("reject") == 0; i++) {
            accept(estimatedWork);
        }
    }

    /** Requests one after the other, each to its end; counts the attempts to bad workers. */
    public int attemptsAtBadWorkers(
            int requests, double estimatedWork, LongPredicate isBad, Outcome outcome) {
        int toBad = 0;
        for (int i = 0; i < requests; i++) {
            RequestHandle handle = accept(estimatedWork);
            for (int attempt = 0; !handle.isComplete(); attempt++) {
                boolean bad = isBad.test(lastWorker());
                toBad += bad ? 1 : 0;
                pass(0.02).end(handle, attempt, bad ? outcome : Outcome.SUCCEEDED);
            }
        }
        return toBad;
    }

    public String lastAction() {
        return actions.isEmpty() ? "" : actions.get(actions.size() - 1);
    }

    /** The worker of the last attempt, or 0 if what was done last is no attempt. */
    public long lastWorker() {
        String last = lastAction();
        return last.startsWith("attempt ")
                ? Long.parseLong(last.substring(last.lastIndexOf(' ') + 1))
                : 0;
    }

    public long count(String what) {
        return actions.stream().filter(s -> s.startsWith(what)).count();
    }

    @Override
    public void startAttempt(Ids.Request request, Ids.Worker worker, double limit) {
        actions.add("attempt " + request.value() + " " + worker.value());
    }

    @Override
    public void reject(Ids.Request request, double retryAfter) {
        actions.add("reject " + request.value());
        this.retryAfter = retryAfter;
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
    public void scheduleWakeup(double delay) {
        // The cases call woken themselves.
        wakes.add(now + delay);
    }

    @Override
    public void watchEndpoints() {
        actions.add("watch");
    }
}
