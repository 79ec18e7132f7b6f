package wheelroute.kit.scale;

import java.util.List;

/**
 * The sizes at which a scale run measures each dimension.
 *
 * @param averagingSeconds time over which each rate is averaged
 * @param batchWorkerCount minimum length of the endpoint list while batches of changes are measured
 * @param dispatcherCounts numbers of in-process dispatchers
 */
public record ScalePlan(
        double averagingSeconds,
        List<Integer> workerCounts,
        List<Double> changesPerSecond,
        List<Integer> attemptsPerSecond,
        List<Integer> attemptsInFlight,
        List<Integer> tenantCounts,
        List<Integer> changesPerBatch,
        int batchWorkerCount,
        List<Integer> dispatcherCounts) {
    /** Length of the endpoint list while a dimension other than this length is measured. */
    static final int BASELINE_WORKERS = 1000;

    /** Rate of endpoint changes while a dimension other than this rate is measured. */
    static final double BASELINE_CHANGES_PER_SECOND = 1;

    /**
     * Validates the sizes.
     *
     * @throws IllegalArgumentException if a number is not positive, or a dimension has too few
     *     sizes for a fit or sizes that do not ascend
     */
    public ScalePlan {
        if (!(averagingSeconds > 0)) {
            throw new IllegalArgumentException(
                    "averagingSeconds must be positive, got " + averagingSeconds);
        }
        if (batchWorkerCount < 1) {
            throw new IllegalArgumentException(
                    "batchWorkerCount must be positive, got " + batchWorkerCount);
        }
        workerCounts = checkedSizes("workerCounts", workerCounts);
        changesPerSecond = checkedSizes("changesPerSecond", changesPerSecond);
        attemptsPerSecond = checkedSizes("attemptsPerSecond", attemptsPerSecond);
        attemptsInFlight = checkedSizes("attemptsInFlight", attemptsInFlight);
        tenantCounts = checkedSizes("tenantCounts", tenantCounts);
        changesPerBatch = checkedSizes("changesPerBatch", changesPerBatch);
        dispatcherCounts = checkedSizes("dispatcherCounts", dispatcherCounts);
    }

    private static <T extends Number & Comparable<T>> List<T> checkedSizes(
            String name, List<T> sizes) {
        if (sizes.size() < LinearFit.MIN_POINTS) {
            throw new IllegalArgumentException(
                    name + " needs at least " + LinearFit.MIN_POINTS + " sizes, got " + sizes);
        }
        for (int i = 1; i < sizes.size(); i++) {
            if (sizes.get(i - 1).compareTo(sizes.get(i)) >= 0) {
                throw new IllegalArgumentException(name + " must ascend, got " + sizes);
            }
        }
        return List.copyOf(sizes);
    }

    /** Returns a plan whose run takes well under a minute. */
    public static ScalePlan quick() {
        return new ScalePlan(
                1.5,
                List.of(100, 1000, 3000, 8000),
                List.of(1.0, 10.0, 40.0, 100.0),
                List.of(10, 35, 100, 250),
                List.of(50, 200, 500, 1000),
                List.of(0, 50, 200, 440),
                List.of(100, 400, 1000, 2300),
                3000,
                List.of(10, 40, 80, 150));
    }

    /** Returns a plan up to 30,000 workers and 300 dispatchers, whose run takes minutes. */
    public static ScalePlan full() {
        return new ScalePlan(
                6,
                List.of(100, 1000, 3000, 10_000, 20_000, 30_000),
                List.of(1.0, 5.0, 20.0, 50.0, 100.0),
                List.of(10, 35, 100, 250),
                List.of(100, 500, 1500, 3000),
                List.of(0, 50, 150, 300, 440),
                List.of(100, 500, 1150, 2300),
                30_000,
                List.of(20, 75, 150, 300));
    }
}
