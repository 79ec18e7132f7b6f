package wheelroute.kit.model;

import java.util.List;
import java.util.SplittableRandom;
import wheelroute.kit.scenario.Scenario;

/**
 * The asks of a run, by the seed alone: a Poisson stream whose rate follows the scenario's load.
 */
public final class RequestGenerator {
    private final Scenario scenario;
    private final SeededRandom chance;
    private final double seconds;
    private final double mostRate;
    private final double[] offeringShares;
    private final double[] tenantShares;
    private double time;
    private int drawn;
    private int asks;

    public RequestGenerator(Scenario scenario, SeededRandom chance, double seconds) {
        this.scenario = scenario;
        this.chance = chance;
        this.seconds = seconds;
        mostRate = scenario.load().stream().mapToDouble(Scenario.LoadPoint::rate).max().orElse(0);
        offeringShares =
                summed(
                        scenario.offerings().stream()
                                .mapToDouble(Scenario.RequestClass::share)
                                .toArray());
        tenantShares =
                summed(scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray());
    }

    /** The next ask, or null when the run's time is over. */
    public ClientRequest next() {
        while (mostRate > 0) {
            SplittableRandom random = chance.of(SeededRandom.Purpose.ARRIVAL, drawn++, 0);
            time -= Math.log(1 - random.nextDouble()) / mostRate;
            if (time >= seconds) {
                return null;
            }
            // Thinned: the stream of the highest rate, of which as much is kept as the rate of the
            // moment
            // says.
            if (random.nextDouble() * mostRate < rateAt(time)) {
                return ask(asks++);
            }
        }
        return null;
    }

    private ClientRequest ask(int number) {
        Scenario.RequestClass offering =
                scenario.offerings()
                        .get(
                                index(
                                        offeringShares,
                                        chance.once(SeededRandom.Purpose.OFFERING, number, 0)));
        Scenario.Tenant tenant =
                scenario.tenants().isEmpty()
                        ? Scenario.Tenant.NONE
                        : scenario.tenants()
                                .get(
                                        index(
                                                tenantShares,
                                                chance.once(
                                                        SeededRandom.Purpose.TENANT, number, 0)));
        double work =
                Math.max(
                        Scenario.LEAST_WORK,
                        offering.work()
                                * SeededRandom.lognormal(
                                        chance.of(SeededRandom.Purpose.WORK, number, 0),
                                        offering.spread()));
        double hint = Double.NaN;
        if (offering.hintError() >= 0) {
            hint =
                    work
                            * SeededRandom.lognormal(
                                    chance.of(SeededRandom.Purpose.HINT, number, 0),
                                    offering.hintError());
        }
        double leaves = Double.POSITIVE_INFINITY;
        SplittableRandom impatience = chance.of(SeededRandom.Purpose.IMPATIENCE, number, 0);
        if (impatience.nextDouble() < scenario.clients().impatient()) {
            leaves = impatience.nextDouble() * offering.outer();
        }
        return new ClientRequest(number, time, offering, tenant, work, hint, leaves);
    }

    /** Asks a second at this moment; the schedule begins anew with each cycle. */
    public double rateAt(double at) {
        double within = at % scenario.cycle();
        List<Scenario.LoadPoint> points = scenario.load();
        Scenario.LoadPoint before = points.get(0);
        for (Scenario.LoadPoint point : points) {
            if (point.at() > within) {
                double part =
                        point.at() > before.at()
                                ? Math.max(0, within - before.at()) / (point.at() - before.at())
                                : 0;
                return before.rate() + part * (point.rate() - before.rate());
            }
            before = point;
        }
        return before.rate();
    }

    private static double[] summed(double[] shares) {
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    private static int index(double[] summed, double draw) {
        double at = draw * summed[summed.length - 1];
        for (int i = 0; i < summed.length - 1; i++) {
            if (at < summed[i]) {
                return i;
            }
        }
        return summed.length - 1;
    }
}
