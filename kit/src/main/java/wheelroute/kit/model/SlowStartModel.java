package wheelroute.kit.model;

import java.util.ArrayDeque;
import wheelroute.kit.scenario.Scenario;

/**
 * The slow start of a worker's process, whose capacity ramps up after its start. The process
 * crashes if too much work arrives during the ramp-up.
 */
final class SlowStartModel {
    /**
     * The standard deviations by which a Poisson count of arrivals may exceed the overload limit.
     */
    private static final int ALLOWED_STANDARD_DEVIATIONS = 2;

    private record Arrival(double at, double workSeconds) {}

    private final Scenario.WorkerGroup group;
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();

    /** When the process started; NaN if it started long before the run. */
    private double startedAt = Double.NaN;

    SlowStartModel(Scenario.WorkerGroup group) {
        this.group = group;
    }

    void onProcessStarted(double now) {
        startedAt = now;
    }

    void onProcessEnded() {
        recentArrivals.clear();
    }

    double startedAt() {
        return startedAt;
    }

    /** Returns the fraction of its full capacity that the worker has at this time. */
    double rampFraction(double at) {
        double age = at - startedAt;
        if (!(age < group.slowStartDurationSeconds())) {
            return 1;
        }
        return group.slowStartFraction()
                + (1 - group.slowStartFraction())
                        * Math.max(0, age)
                        / group.slowStartDurationSeconds();
    }

    /** Adds the work of an arrival, and returns whether the worker crashes because of it. */
    boolean collapsesUnder(double workSeconds, double now) {
        double windowStart = now - group.overloadWindowSeconds();
        double rampFraction = rampFraction(windowStart);
        if (rampFraction >= 1) {
            return false;
        }
        recentArrivals.addLast(new Arrival(now, workSeconds));
        while (recentArrivals.peekFirst().at() <= windowStart) {
            recentArrivals.pollFirst();
        }
        double recentWork = recentArrivals.stream().mapToDouble(Arrival::workSeconds).sum();
        return recentWork > maxWork(rampFraction);
    }

    /** Returns the maximum seconds of work that may arrive within the overload window. */
    private double maxWork(double rampFraction) {
        double max =
                group.overloadMultiple()
                        * rampFraction
                        * group.speed()
                        * group.slots()
                        * group.overloadWindowSeconds();
        double meanWork = group.overloadMeanWorkSeconds();
        if (meanWork > 0) {
            max +=
                    (ALLOWED_STANDARD_DEVIATIONS * Math.sqrt(max / meanWork)
                                    + ALLOWED_STANDARD_DEVIATIONS)
                            * meanWork;
        }
        return max;
    }
}
