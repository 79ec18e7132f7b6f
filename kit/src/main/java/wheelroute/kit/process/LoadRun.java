package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.net.NetworkInterface;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
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

/** Clients alone: a load on one address, and how it was answered. Nothing is retried. */
public final class LoadRun implements ResponseListener {
    private static final double MICROS = 1e6;
    private static final double MILLIS = 1e3;
    private static final long MOST_MICROS = 3_600_000_000L;
    private static final double NANOS = 1e9;
    private static final int POLL_MILLIS = 50;
    private static final double CONNECT = 2;

    /** A closed loop that finds nobody tries again after this long. */
    private static final double RECONNECT = 0.1;

    /**
     * What is sent.
     *
     * @param rate asks a second, by chance; 0 for a closed loop
     * @param connections that always have one submission out; 0 for an open loop
     * @param work a job's mean work in seconds
     * @param tenants so many take turns, named t0 and on; 0 for none
     * @param most of a closed loop, which is over after so many; 0 for no bound but the time
     */
    public record Load(
            InetSocketAddress address,
            String offering,
            Idempotency effect,
            double rate,
            int connections,
            double work,
            double spread,
            double timeout,
            double seconds,
            long seed,
            int tenants,
            int most) {}

    /** How it went: how many were sent, and how many of them were fulfilled. */
    public record Result(int sent, long fulfilled, String text) {}

    private final Load load;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT);
    private final SeededRandom chance;
    private final ClientPool pool;
    private final Scenario.RequestClass offering;
    private final Map<FinalResponse, Long> answers = new EnumMap<>(FinalResponse.class);
    private final Histogram latencies = new Histogram(MOST_MICROS, 3);
    private double start;
    private int sent;
    private long refused;
    private long cutOff;
    private long timedOut;
    private final Set<Long> open = new HashSet<>();

    private LoadRun(Load load) {
        this.load = load;
        chance = new SeededRandom(load.seed());
        pool = new ClientPool(loop, load.address(), this, ClientPool.USUAL);
        offering =
                new Scenario.RequestClass(
                        load.offering(),
                        load.effect(),
                        IdempotencyScope.ALL,
                        1,
                        load.work(),
                        load.spread(),
                        0,
                        load.timeout(),
                        0,
                        load.timeout(),
                        1,
                        0,
                        0,
                        1,
                        0);
    }

    /** Plays it to its end, or until it is told to stop. */
    public static Result run(Load load, BooleanSupplier stop) throws RehearsalException {
        LoadRun run = new LoadRun(load);
        try {
            run.loop.start();
            run.loop.post(run::begin);
            long end = System.nanoTime() + (long) ((load.seconds() + load.timeout()) * NANOS);
            boolean over = false;
            while (!over && !stop.getAsBoolean() && System.nanoTime() < end) {
                Thread.sleep(POLL_MILLIS);
                CompletableFuture<Boolean> asked = new CompletableFuture<>();
                run.loop.post(() -> asked.complete(run.start > 0 && run.isOver()));
                over = asked.get();
            }
            CompletableFuture<Result> result = new CompletableFuture<>();
            run.loop.post(
                    () ->
                            result.complete(
                                    new Result(
                                            run.sent,
                                            run.answers.getOrDefault(FinalResponse.SUCCEEDED, 0L),
                                            run.text())));
            Result report = result.get();
            run.loop.stop();
            return report;
        } catch (Exception e) {
            throw new RehearsalException("the load broke off: " + e);
        }
    }

    private boolean isOver() {
        return (loop.now() >= start + load.seconds() || (load.most() > 0 && sent >= load.most()))
                && open.isEmpty();
    }

    private void begin() {
        start = loop.now();
        if (load.connections() > 0) {
            for (int i = 0; i < load.connections(); i++) {
                send(loop.now());
            }
        } else {
            next(start);
        }
    }

    /** The open loop: when the next goes does not depend on any answer. */
    private void next(double before) {
        double at =
                before
                        - Math.log(1 - chance.uniform(SeededRandom.Purpose.ARRIVAL, sent, 0))
                                / load.rate();
        if (at < start + load.seconds()) {
            loop.schedule(
                    Math.max(0, at - loop.now()),
                    () -> {
                        send(at);
                        next(at);
                    });
        }
    }

    private void send(double at) {
        int number = sent++;
        double work =
                load.work()
                        * SeededRandom.lognormal(
                                chance.generator(SeededRandom.Purpose.WORK, number, 0),
                                load.spread());
        ClientRequest request =
                new ClientRequest(
                        number,
                        at - start,
                        offering,
                        tenant(number),
                        work,
                        work,
                        Double.POSITIVE_INFINITY);
        ClientAttempt clientAttempt = new ClientAttempt(request, 0, 0, at, load.timeout());
        open.add(clientAttempt.key());
        loop.schedule(
                load.timeout(),
                () -> {
                    if (open.remove(clientAttempt.key())) {
                        timedOut++;
                        pool.hangUp(clientAttempt);
                        again(0);
                    }
                });
        pool.submit(clientAttempt);
    }

    private Scenario.Tenant tenant(int number) {
        return load.tenants() == 0
                ? Scenario.Tenant.NONE
                : new Scenario.Tenant("t" + number % load.tenants(), 1, 0);
    }

    private void again(double pause) {
        if (load.connections() > 0
                && loop.now() < start + load.seconds()
                && (load.most() == 0 || sent < load.most())) {
            loop.schedule(pause, () -> send(loop.now()));
        }
    }

    @Override
    public void onResponse(ClientAttempt clientAttempt, FinalResponse response, double retryAfter) {
        if (open.remove(clientAttempt.key())) {
            answers.merge(response, 1L, Long::sum);
            // From when it was meant to go, not from when we came round to it.
            latencies.recordValue(
                    Math.min(
                            MOST_MICROS,
                            Math.round(MICROS * Math.max(0, loop.now() - clientAttempt.sentAt()))));
            again(0);
        }
    }

    @Override
    public void onRefused(ClientAttempt clientAttempt) {
        if (open.remove(clientAttempt.key())) {
            refused++;
            again(RECONNECT);
        }
    }

    @Override
    public void onConnectionLost(ClientAttempt clientAttempt) {
        if (open.remove(clientAttempt.key())) {
            cutOff++;
            again(RECONNECT);
        }
    }

    private String text() {
        List<String> lines = new ArrayList<>();
        double took = Math.max(1e-3, Math.min(loop.now() - start, load.seconds()));
        lines.add(
                String.format(
                        Locale.ROOT, "%d sent in %.1f s, %.0f a second", sent, took, sent / took));
        for (FinalResponse response : FinalResponse.values()) {
            lines.add(response.label() + ": " + answers.getOrDefault(response, 0L));
        }
        lines.add(
                "refused: "
                        + refused
                        + ", cut off: "
                        + cutOff
                        + ", timed out: "
                        + timedOut
                        + ", still open: "
                        + open.size());
        lines.add("latency of answers, ms: " + percentiles(latencies));
        if (load.connections() > 0 && latencies.getTotalCount() > 0) {
            // A closed loop stops asking while it waits; the median stands for how often it would
            // have asked.
            Histogram corrected =
                    latencies.copyCorrectedForCoordinatedOmission(
                            Math.max(1, latencies.getValueAtPercentile(50)));
            lines.add("corrected for what was not asked meanwhile: " + percentiles(corrected));
        }
        return String.join("\n", lines);
    }

    private static String percentiles(Histogram h) {
        if (h.getTotalCount() == 0) {
            return "none";
        }
        return String.format(
                Locale.ROOT,
                "p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  most %.2f",
                h.getValueAtPercentile(50) / MILLIS,
                h.getValueAtPercentile(90) / MILLIS,
                h.getValueAtPercentile(99) / MILLIS,
                h.getValueAtPercentile(99.9) / MILLIS,
                h.getMaxValue() / MILLIS);
    }

    /** An address of this machine: a load is sent to no other. */
    public static boolean isLocal(InetSocketAddress address) {
        try {
            return address.getAddress().isLoopbackAddress()
                    || NetworkInterface.getByInetAddress(address.getAddress()) != null;
        } catch (SocketException e) {
            return false;
        }
    }
}
