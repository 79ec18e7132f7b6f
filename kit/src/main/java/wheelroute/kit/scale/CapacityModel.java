package wheelroute.kit.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Extrapolates the costs of a deployment from the lines that a scale run has fitted. Costs are
 * linear in each dimension and add up; a figure fits if it is within its bound by two standard
 * errors.
 */
public final class CapacityModel {
    // Where each dispatcher has a subset of the workers, each worker must be in the subsets of
    // several dispatchers, so that it stays reachable when one of them fails.
    private static final int SUBSETS_PER_WORKER_IF_FEW = 2;
    private static final int SUBSETS_PER_WORKER_IF_MANY = 3;

    /** From this number of dispatchers on, the subsets are small enough for one more each. */
    private static final double MANY_DISPATCHERS = 100;

    private final ScaleResults results;
    private final DeploymentSize size;

    /** Creates the model of a deployment from measured costs. */
    public CapacityModel(ScaleResults results, DeploymentSize size) {
        this.results = results;
        this.size = size;
    }

    ScaleResults results() {
        return results;
    }

    DeploymentSize size() {
        return size;
    }

    /** Returns the tables of the capacity page as Markdown, by name. */
    public Map<String, String> tables() {
        return new CapacityTables(this).all();
    }

    /** Returns a line for each bound of a dispatcher that may be exceeded; empty if all fit. */
    public List<String> exceededBounds() {
        List<String> exceeded = new ArrayList<>();
        for (double dispatchers : size.dispatchers()) {
            check("CPU at peak", cpuAtPeak(dispatchers), size.maxCores(), dispatchers, exceeded);
            check("memory", memoryMb(dispatchers), size.maxMemoryMb(), dispatchers, exceeded);
            check(
                    "control bytes/s",
                    controlBytesPerSecond(),
                    size.maxControlBytesPerSecond(),
                    dispatchers,
                    exceeded);
        }
        return exceeded;
    }

    private static void check(
            String name,
            Estimate estimate,
            double bound,
            double dispatchers,
            List<String> exceeded) {
        if (!estimate.fits(bound)) {
            exceeded.add(
                    name
                            + " with "
                            + Estimate.digits(dispatchers)
                            + " dispatchers: "
                            + estimate.comparedTo(bound));
        }
    }

    /** Returns the value of a series' line at x. */
    Estimate at(ScaleSeries series, double x) {
        LinearFit fit = results.fit(series);
        return new Estimate(fit.valueAt(x), fit.errorAt(x));
    }

    /**
     * Returns the slope of a series. A negative one is measurement error: more never costs less.
     */
    Estimate slope(ScaleSeries series) {
        LinearFit fit = results.fit(series);
        return new Estimate(Math.max(0, fit.slope()), fit.slopeError());
    }

    /** Returns the cores that a dispatcher uses while it has no requests. */
    Estimate idleCpu() {
        Estimate furtherChanges =
                slope(ScaleSeries.CHANGES_CPU)
                        .times(size.changesPerSecond() - ScalePlan.BASELINE_CHANGES_PER_SECOND);
        return at(ScaleSeries.IDLE_CPU, size.workers()).plus(furtherChanges);
    }

    /** Returns the CPU seconds of an attempt, for a dispatcher that chooses among these workers. */
    Estimate attemptCpu(double workers) {
        return at(ScaleSeries.ATTEMPT_CPU, workers)
                .plus(slope(ScaleSeries.TENANTS_CPU).times(size.tenants()));
    }

    /** Returns the cores of one of so many dispatchers, at the peak of attempts. */
    Estimate cpuAtPeak(double dispatchers) {
        return idleCpu()
                .plus(attemptCpu(size.workers()).times(size.attemptsPerSecond() / dispatchers))
                .plus(slope(ScaleSeries.HELD_CPU).times(size.heldAttempts() / dispatchers));
    }

    /** Returns the memory of one of so many dispatchers, at the peak of attempts in flight. */
    Estimate memoryMb(double dispatchers) {
        return at(ScaleSeries.MEMORY, size.workers())
                .plus(slope(ScaleSeries.HELD_MEMORY).times(size.heldAttempts() / dispatchers));
    }

    /** Returns what a dispatcher receives from discovery. */
    Estimate controlBytesPerSecond() {
        return at(ScaleSeries.CHANGES_BYTES, size.changesPerSecond());
    }

    Estimate completeListBytes() {
        return at(ScaleSeries.COMPLETE_LIST_BYTES, size.workers());
    }

    Estimate bytesPerEndpoint() {
        return slope(ScaleSeries.COMPLETE_LIST_BYTES);
    }

    /** Returns how many dispatchers each worker is a candidate of, if subsets were used. */
    static int subsetsPerWorker(double dispatchers) {
        return dispatchers < MANY_DISPATCHERS
                ? SUBSETS_PER_WORKER_IF_FEW
                : SUBSETS_PER_WORKER_IF_MANY;
    }

    /** Returns the number of workers in the subset of each of so many dispatchers. */
    double subsetSize(double dispatchers) {
        return Math.min(
                size.workers(),
                Math.ceil(subsetsPerWorker(dispatchers) * size.workers() / dispatchers));
    }
}
