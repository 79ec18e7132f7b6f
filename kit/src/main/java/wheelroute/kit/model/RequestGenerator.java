package wheelroute.kit.model;

import java.util.List;
import java.util.SplittableRandom;
import wheelroute.kit.scenario.Scenario;

/** Generates the requests of a run: a Poisson process whose rate follows the scenario's load. */
public final class RequestGenerator {
    private final Scenario scenario;
    private final SeededRandom random;
    private final double seconds;
    private final double maxRate;
    private final double[] requestClassShares;
    private final double[] tenantShares;
    private double time;
    private int arrivalCount;
    private int requestCount;

    /** Creates the requests of so many seconds, by the seed alone. */
    public RequestGenerator(Scenario scenario, SeededRandom random, double seconds) {
        this.scenario = scenario;
        this.random = random;
        this.seconds = seconds;
        maxRate = scenario.load().stream().mapToDouble(Scenario.LoadPoint::rate).max().orElse(0);
        requestClassShares =
                cumulative(
                        scenario.requestClasses().stream()
                                .mapToDouble(Scenario.RequestClass::share)
                                .toArray());
        tenantShares =
                cumulative(
                        scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray());
    }

    /** The next request; null when the run's time is over. */
    public ClientRequest next() {
        while (maxRate > 0) {
            SplittableRandom arrival =
                    random.generator(SeededRandom.Purpose.ARRIVAL, arrivalCount++, 0);
            time -= Math.log(1 - arrival.nextDouble()) / maxRate;
            if (time >= seconds) {
                return null;
            }
            // Thinning: of a process with the maximum rate, keeps the fraction that the current
            // rate needs.
            if (arrival.nextDouble() * maxRate < rateAt(time)) {
                return createRequest(requestCount++);
            }
        }
        return null;
    }

    private ClientRequest createRequest(int number) {
        Scenario.RequestClass requestClass =
                scenario.requestClasses()
                        .get(
                                indexOf(
                                        requestClassShares,
                                        random.uniform(
                                                SeededRandom.Purpose.REQUEST_CLASS, number, 0)));
        Scenario.Tenant tenant =
                scenario.tenants().isEmpty()
                        ? Scenario.Tenant.NONE
                        : scenario.tenants()
                                .get(
                                        indexOf(
                                                tenantShares,
                                                random.uniform(
                                                        SeededRandom.Purpose.TENANT, number, 0)));
        double work =
                Math.max(
                        Scenario.MIN_WORK,
                        requestClass.work()
                                * SeededRandom.lognormal(
                                        random.generator(SeededRandom.Purpose.WORK, number, 0),
                                        requestClass.spread()));
        double hint = Double.NaN;
        if (requestClass.estimateError() >= 0) {
            hint =
                    work
                            * SeededRandom.lognormal(
                                    random.generator(SeededRandom.Purpose.COST_ESTIMATE, number, 0),
                                    requestClass.estimateError());
        }
        double leaves = Double.POSITIVE_INFINITY;
        SplittableRandom impatience =
                random.generator(SeededRandom.Purpose.CANCELLATION, number, 0);
        if (impatience.nextDouble() < scenario.clients().cancelFraction()) {
            leaves = impatience.nextDouble() * requestClass.deadline();
        }
        return new ClientRequest(number, time, requestClass, tenant, work, hint, leaves);
    }

    /** Requests per second at this time; the load repeats in each cycle. */
    public double rateAt(double at) {
        double within = at % scenario.cycle();
        List<Scenario.LoadPoint> points = scenario.load();
        Scenario.LoadPoint before = points.get(0);
        for (Scenario.LoadPoint point : points) {
            if (point.time() > within) {
                double part =
                        point.time() > before.time()
                                ? Math.max(0, within - before.time())
                                        / (point.time() - before.time())
                                : 0;
                return before.rate() + part * (point.rate() - before.rate());
            }
            before = point;
        }
        return before.rate();
    }

    private static double[] cumulative(double[] shares) {
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    private static int indexOf(double[] summed, double draw) {
        double at = draw * summed[summed.length - 1];
        for (int i = 0; i < summed.length - 1; i++) {
            if (at < summed[i]) {
                return i;
            }
        }
        return summed.length - 1;
    }
}
