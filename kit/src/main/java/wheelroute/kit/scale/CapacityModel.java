package wheelroute.kit.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Extrapolates the costs of a deployment from the lines that were fitted to the results of a scale
 * run. The model assumes that costs are linear in each dimension and add up. An estimate fits a
 * bound if it is within the bound by at least two standard errors.
 */
public final class CapacityModel {
    // If each dispatcher used only a subset of the workers, each worker would have to be in the
    // subsets of several dispatchers, to stay reachable when one of these dispatchers fails.
    private static final int SUBSETS_PER_WORKER_IF_FEW = 2;
    private static final int SUBSETS_PER_WORKER_IF_MANY = 3;

    /**
     * Number of dispatchers from which on the subsets are so small that each worker can be in one
     * more of them.
     */
    private static final double MANY_DISPATCHERS = 100;

    private final ScaleResults results;
    private final DeploymentSize size;

    /** Creates the model of a deployment of the given size. */
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

    /** Returns the tables of the capacity page as Markdown, by the names in the page's markers. */
    public Map<String, String> tables() {
        return new CapacityTables(this).all();
    }

    /** Returns a line of text for each bound of a dispatcher that may be exceeded. */
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
        if (!estimate.isConfidentlyWithin(bound)) {
            exceeded.add(
                    name
                            + " with "
                            + Estimate.formatNumber(dispatchers)
                            + " dispatchers: "
                            + estimate.comparedTo(bound));
        }
    }

    /** Returns the value of the line of a series at x. */
    Estimate estimateAt(ScaleSeries series, double x) {
        LinearFit fit = results.fit(series);
        return new Estimate(fit.valueAt(x), fit.errorAt(x));
    }

    /**
     * Returns the slope of the line of a series. A negative slope counts as 0, because a larger
     * size never costs less and the slope must be a measurement error.
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
        return estimateAt(ScaleSeries.IDLE_CPU, size.workers()).plus(furtherChanges);
    }

    /** Returns the CPU seconds of an attempt if a dispatcher chooses among so many workers. */
    Estimate attemptCpu(double workers) {
        return estimateAt(ScaleSeries.ATTEMPT_CPU, workers)
                .plus(slope(ScaleSeries.TENANTS_CPU).times(size.tenants()));
    }

    /** Returns the cores that each of so many dispatchers uses at the peak rate of attempts. */
    Estimate cpuAtPeak(double dispatchers) {
        return idleCpu()
                .plus(attemptCpu(size.workers()).times(size.attemptsPerSecond() / dispatchers))
                .plus(
                        slope(ScaleSeries.IN_FLIGHT_CPU)
                                .times(size.attemptsInFlight() / dispatchers));
    }

    /** Returns the memory that each of so many dispatchers uses at peak, in MB. */
    Estimate memoryMb(double dispatchers) {
        return estimateAt(ScaleSeries.MEMORY, size.workers())
                .plus(
                        slope(ScaleSeries.IN_FLIGHT_MEMORY)
                                .times(size.attemptsInFlight() / dispatchers));
    }

    /** Returns the bytes per second that a dispatcher receives from discovery. */
    Estimate controlBytesPerSecond() {
        return estimateAt(ScaleSeries.CHANGES_BYTES, size.changesPerSecond());
    }

    Estimate completeListBytes() {
        return estimateAt(ScaleSeries.COMPLETE_LIST_BYTES, size.workers());
    }

    Estimate bytesPerEndpoint() {
        return slope(ScaleSeries.COMPLETE_LIST_BYTES);
    }

    /** Returns in how many dispatchers' subsets each worker would be if subsets were used. */
    static int subsetsPerWorker(double dispatchers) {
        return dispatchers < MANY_DISPATCHERS
                ? SUBSETS_PER_WORKER_IF_FEW
                : SUBSETS_PER_WORKER_IF_MANY;
    }

    /** Returns the number of workers that each of so many dispatchers would have in its subset. */
    double subsetSize(double dispatchers) {
        return Math.min(
                size.workers(),
                Math.ceil(subsetsPerWorker(dispatchers) * size.workers() / dispatchers));
    }
}
