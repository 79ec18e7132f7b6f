package wheelroute;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Policy;
import wheelroute.decision.Request;
import wheelroute.decision.RequestHandle;
import wheelroute.decision.Settings;

/** One policy, what it did so far, and short ways to tell it what happens. */
public final class SimulatedWorld implements ActionHandler {
    static final double START = 100;
    static final double LIMIT = 10;
    private static final int MOST_TO_FILL = 40;

    /** The settings a case may vary, with plain values to start from. */
    public static final class Given {
        public Idempotency effect = Idempotency.IDEMPOTENT;
        IdempotencyScope group = IdempotencyScope.CELL;
        double window = 20;
        public boolean mayCopy = true;
        public boolean mustAsk;
        boolean tellsStart = true;
        double progressEvery;
        int mostLaunches = 6;
        public int dispatchers = 1;
        int position = -1;
        double retryAfter = 2;
        public boolean inTurn;
        double keyRest = 0.2;
        boolean goneIsAdvice;
        double patientValue = 3;

        public Settings settings() {
            return new Settings(
                    7,
                    new Ids.Zone("here"),
                    dispatchers,
                    position,
                    0.005,
                    List.of(
                            new Settings.RequestClass(
                                    new Ids.RequestClass("job"),
                                    effect,
                                    group,
                                    1,
                                    2,
                                    3,
                                    0.3,
                                    window,
                                    null,
                                    inTurn),
                            new Settings.RequestClass(
                                    new Ids.RequestClass("patient"),
                                    effect,
                                    group,
                                    8,
                                    2,
                                    patientValue,
                                    0.3,
                                    window,
                                    null,
                                    inTurn)),
                    Map.of(new Ids.Tenant("t"), 10.0, new Ids.Tenant("greedy"), 10.0),
                    0.1,
                    mustAsk,
                    tellsStart,
                    progressEvery,
                    true,
                    true,
                    mayCopy,
                    retryAfter > 0,
                    retryAfter,
                    mostLaunches,
                    0.25,
                    20,
                    4,
                    3,
                    0,
                    0,
                    goneIsAdvice,
                    keyRest);
        }
    }

    final Policy policy;
    final List<String> did = new ArrayList<>();

    /** When wakes were asked for. */
    final List<Double> wakes = new ArrayList<>();

    /** The last bounce's advice. */
    double advised;

    double now = START;
    private long lastId;

    SimulatedWorld(Given given) {
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

    static SimulatedWorld of(Idempotency effect, IdempotencyScope group) {
        Given given = new Given();
        given.effect = effect;
        given.group = group;
        return new SimulatedWorld(given);
    }

    static Endpoint worker(
            long id, long cell, String zone, double startedAt, Endpoint.State readiness) {
        return new Endpoint(
                new Ids.Worker(id),
                new Ids.Model("m"),
                1,
                new Ids.Zone(zone),
                startedAt,
                new Ids.Cell(cell),
                readiness);
    }

    /**
     * Workers 1 and 2 share a cell; 3 shares their zone; 4 is elsewhere. The first so many are
     * listed.
     */
    SimulatedWorld list(int count) {
        List<Endpoint> all =
                List.of(
                        active(1, 1, "here"),
                        active(2, 1, "here"),
                        active(3, 2, "here"),
                        active(4, 3, "there"));
        policy.onEndpoints(all.subList(0, count), true);
        return this;
    }

    private static Endpoint active(long id, long cell, String zone) {
        return worker(id, cell, zone, Double.NaN, Endpoint.State.READY);
    }

    SimulatedWorld change(long id, double startedAt, Endpoint.State readiness) {
        String zone = id == 4 ? "there" : "here";
        policy.onEndpoints(
                List.of(worker(id, id < 3 ? 1 : id - 1, zone, startedAt, readiness)), false);
        return this;
    }

    SimulatedWorld pass(double seconds) {
        now += seconds;
        policy.advanceTo(now);
        return this;
    }

    /** Passes with a wake every tenth of a second. */
    SimulatedWorld watch(int wakes) {
        for (int i = 0; i < wakes; i++) {
            pass(0.1).policy.onWakeup();
        }
        return this;
    }

    RequestHandle take(double hint) {
        return take(hint, now + LIMIT);
    }

    RequestHandle take(double hint, double outerLimit) {
        return take("job", hint, outerLimit);
    }

    RequestHandle take(String offering, double hint, double outerLimit) {
        return take(offering, "t", hint, outerLimit);
    }

    RequestHandle take(String offering, String tenant, double hint, double outerLimit) {
        return take(offering, tenant, hint, outerLimit, null);
    }

    RequestHandle take(String offering, String tenant, double hint, double outerLimit, String key) {
        return policy.accept(
                new Request(
                        new Ids.Request(++lastId),
                        new Ids.RequestClass(offering),
                        new Ids.Tenant(tenant),
                        outerLimit,
                        hint,
                        1,
                        0,
                        false,
                        key == null ? null : new Ids.Key(key)));
    }

    void end(RequestHandle handle, int launch, Outcome outcome) {
        handle.onEnded(launch, outcome, outcome == Outcome.SUCCEEDED, LoadReport.NONE);
    }

    /** Runs one submission to its answer: taken, started at once, answered after so long. */
    long serve(double hint, double run) {
        did.clear();
        RequestHandle handle = take(hint);
        final long worker = lastWorker();
        handle.onStarted(0);
        pass(run);
        end(handle, 0, Outcome.SUCCEEDED);
        return worker;
    }

    /** Serves enough to have earned a copy or two; what was done is forgotten. */
    SimulatedWorld earnCopies() {
        for (int i = 0; i < MOST_TO_FILL; i++) {
            serve(0.1, 0.1);
        }
        did.clear();
        return this;
    }

    /** Submissions until the first bounce; what was done before is forgotten. */
    void fill(double hint) {
        did.clear();
        for (int i = 0; i < MOST_TO_FILL && count("bounce") == 0; i++) {
            take(hint);
        }
    }

    /** Submissions one after the other, each to its end; counts the launches to bad workers. */
    int launchesToBad(int submissions, double hint, LongPredicate isBad, Outcome outcome) {
        int toBad = 0;
        for (int i = 0; i < submissions; i++) {
            RequestHandle handle = take(hint);
            for (int launch = 0; !handle.isComplete(); launch++) {
                boolean bad = isBad.test(lastWorker());
                toBad += bad ? 1 : 0;
                pass(0.02).end(handle, launch, bad ? outcome : Outcome.SUCCEEDED);
            }
        }
        return toBad;
    }

    String last() {
        return did.isEmpty() ? "" : did.get(did.size() - 1);
    }

    /** The worker of the last launch, or 0 if what was done last is no launch. */
    long lastWorker() {
        String last = last();
        return last.startsWith("launch ")
                ? Long.parseLong(last.substring(last.lastIndexOf(' ') + 1))
                : 0;
    }

    long count(String what) {
        return did.stream().filter(s -> s.startsWith(what)).count();
    }

    @Override
    public void startAttempt(Ids.Request submission, Ids.Worker worker, double limit) {
        did.add("launch " + submission.value() + " " + worker.value());
    }

    @Override
    public void reject(Ids.Request submission, double retryAfter) {
        did.add("bounce " + submission.value());
        advised = retryAfter;
    }

    @Override
    public void fail(Ids.Request submission) {
        did.add("scrap " + submission.value());
    }

    @Override
    public void cancelAttempt(Ids.Request submission, int launch) {
        did.add("cancel " + submission.value() + " " + launch);
    }

    @Override
    public void scheduleWakeup(double delay) {
        // The cases call woken themselves.
        wakes.add(now + delay);
    }

    @Override
    public void watchEndpoints() {
        did.add("watch");
    }
}
