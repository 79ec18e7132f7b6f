package wheelroute.kit.model;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import wheelroute.kit.scenario.Scenario;

/**
 * Generates the requests of a run: open-loop arrivals of a Poisson process whose rate follows the
 * scenario's load. The generated requests depend only on the scenario and the seed.
 */
public final class RequestGenerator {
    private final Scenario scenario;
    private final SeededRandom random;
    private final double durationSeconds;
    private final double maxRate;
    private final double[] requestClassShares;
    private final double[] tenantShares;
    private double time;
    private int arrivalCount;
    private int requestCount;

    /** Creates a generator of requests that arrive within this duration. */
    public RequestGenerator(Scenario scenario, SeededRandom random, double durationSeconds) {
        this.scenario = scenario;
        this.random = random;
        this.durationSeconds = durationSeconds;
        maxRate =
                scenario.load().stream()
                        .mapToDouble(Scenario.LoadPoint::requestsPerSecond)
                        .max()
                        .orElse(0);
        requestClassShares =
                cumulativeShares(scenario.requestClasses(), Scenario.RequestClass::share);
        tenantShares = cumulativeShares(scenario.tenants(), Scenario.Tenant::share);
    }

    /** Returns the next request in the order of arrival; null after the last one. */
    public ClientRequest next() {
        while (maxRate > 0) {
            SplittableRandom arrival =
                    random.generator(SeededRandom.Purpose.ARRIVAL, arrivalCount++, 0);
            time -= Math.log(1 - arrival.nextDouble()) / maxRate;
            if (time >= durationSeconds) {
                return null;
            }
            // Thinning draws arrivals at the maximum rate, and keeps the fraction that corresponds
            // to the current rate.
            if (arrival.nextDouble() * maxRate < rateAt(time)) {
                return createRequest(requestCount++);
            }
        }
        return null;
    }

    private ClientRequest createRequest(int number) {
        Scenario.RequestClass requestClass = drawRequestClass(number);
        double work = drawWork(requestClass, number);
        return new ClientRequest(
                number,
                time,
                requestClass,
                drawTenant(number),
                work,
                drawCostEstimate(requestClass, work, number),
                drawCancellation(requestClass, number));
    }

    private Scenario.RequestClass drawRequestClass(int number) {
        double draw = random.uniform(SeededRandom.Purpose.REQUEST_CLASS, number, 0);
        return scenario.requestClasses().get(indexOf(requestClassShares, draw));
    }

    private Scenario.Tenant drawTenant(int number) {
        if (scenario.tenants().isEmpty()) {
            return Scenario.Tenant.NONE;
        }
        double draw = random.uniform(SeededRandom.Purpose.TENANT, number, 0);
        return scenario.tenants().get(indexOf(tenantShares, draw));
    }

    private double drawWork(Scenario.RequestClass requestClass, int number) {
        SplittableRandom generator = random.generator(SeededRandom.Purpose.WORK, number, 0);
        double factor = SeededRandom.lognormal(generator, requestClass.workSpread());
        return Math.max(Scenario.MIN_WORK_SECONDS, requestClass.meanWorkSeconds() * factor);
    }

    /** Returns the cost estimate in seconds; NaN for a request class without estimates. */
    private double drawCostEstimate(Scenario.RequestClass requestClass, double work, int number) {
        if (requestClass.estimateError() < 0) {
            return Double.NaN;
        }
        SplittableRandom generator =
                random.generator(SeededRandom.Purpose.COST_ESTIMATE, number, 0);
        return work * SeededRandom.lognormal(generator, requestClass.estimateError());
    }

    /** Returns the time in seconds after which the client cancels; infinity if it does not. */
    private double drawCancellation(Scenario.RequestClass requestClass, int number) {
        SplittableRandom generator = random.generator(SeededRandom.Purpose.CANCELLATION, number, 0);
        if (generator.nextDouble() < scenario.clients().cancelFraction()) {
            return generator.nextDouble() * requestClass.deadlineSeconds();
        }
        return Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the requests per second at a time in seconds from the start of the run. The load is
     * repeated in each cycle.
     */
    public double rateAt(double at) {
        double atInCycle = at % scenario.cycleSeconds();
        List<Scenario.LoadPoint> points = scenario.load();
        Scenario.LoadPoint before = points.get(0);
        for (Scenario.LoadPoint point : points) {
            if (point.atSeconds() > atInCycle) {
                return interpolate(before, point, atInCycle);
            }
            before = point;
        }
        return before.requestsPerSecond();
    }

    private static double interpolate(
            Scenario.LoadPoint from, Scenario.LoadPoint to, double atInCycle) {
        double fraction =
                to.atSeconds() > from.atSeconds()
                        ? Math.max(0, atInCycle - from.atSeconds())
                                / (to.atSeconds() - from.atSeconds())
                        : 0;
        return from.requestsPerSecond()
                + fraction * (to.requestsPerSecond() - from.requestsPerSecond());
    }

    private static <T> double[] cumulativeShares(List<T> items, ToDoubleFunction<T> share) {
        double[] shares = items.stream().mapToDouble(share).toArray();
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    private static int indexOf(double[] cumulativeShares, double draw) {
        double at = draw * cumulativeShares[cumulativeShares.length - 1];
        for (int i = 0; i < cumulativeShares.length - 1; i++) {
            if (at < cumulativeShares[i]) {
                return i;
            }
        }
        return cumulativeShares.length - 1;
    }
}
