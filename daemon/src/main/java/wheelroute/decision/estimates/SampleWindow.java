package wheelroute.decision.estimates;

/**
 * A ring buffer of the latest samples of a measurement. A sample consists of a time in seconds and
 * one or two figures, whose meaning is defined by the class that owns the window.
 */
public final class SampleWindow {
    /** Array elements per sample: the time and two figures. */
    private static final int STRIDE = 3;

    private final double[] values;
    private final int capacity;
    private int next;
    private int size;

    /** Sum of the first figures, computed on demand after a change. */
    private double sumOfFirst;

    /** Sum of the second figures, computed on demand after a change. */
    private double sumOfSecond;

    private boolean sumsAreCurrent = true;

    /** Creates an empty window that keeps this many of the latest samples. */
    public SampleWindow(int capacity) {
        this.capacity = capacity;
        values = new double[STRIDE * capacity];
    }

    /** Adds a sample with one figure; the oldest is dropped when the window is full. */
    public void add(double time, double figure) {
        add(time, figure, 0);
    }

    /** Adds a sample; the oldest is dropped when the window is full. */
    public void add(double time, double first, double second) {
        values[STRIDE * next] = time;
        values[STRIDE * next + 1] = first;
        values[STRIDE * next + 2] = second;
        next = (next + 1) % capacity;
        size = Math.min(size + 1, capacity);
        sumsAreCurrent = false;
    }

    /**
     * Returns the samples as triples, the oldest first. Each triple holds the age of the sample in
     * place of its time, because the process that imports the samples has another clock.
     */
    double[] export(double now) {
        double[] exported = new double[STRIDE * size];
        for (int i = 0; i < size; i++) {
            int sample = isFull() ? (next + i) % capacity : i;
            exported[STRIDE * i] = now - time(sample);
            exported[STRIDE * i + 1] = first(sample);
            exported[STRIDE * i + 2] = second(sample);
        }
        return exported;
    }

    /** Adds samples that another process has exported. */
    void restore(double now, double[] exported) {
        for (int i = 0; i + STRIDE <= exported.length; i += STRIDE) {
            add(now - exported[i], exported[i + 1], exported[i + 2]);
        }
    }

    /** Removes all samples. */
    public void clear() {
        next = 0;
        size = 0;
        sumsAreCurrent = false;
    }

    int size() {
        return size;
    }

    private boolean isFull() {
        return size == capacity;
    }

    /**
     * Returns the time since which the window holds all samples.
     *
     * @param earliest the result while the window is not full
     */
    double completeSince(double earliest) {
        return isFull() ? time(next) : earliest;
    }

    private double time(int i) {
        return values[STRIDE * i];
    }

    /** Returns the first figure of a sample by its index, which implies no order in time. */
    double first(int i) {
        return values[STRIDE * i + 1];
    }

    /** Returns the second figure of a sample by the same index as {@link #first}. */
    double second(int i) {
        return values[STRIDE * i + 2];
    }

    private void updateSums() {
        if (!sumsAreCurrent) {
            sumOfFirst = 0;
            sumOfSecond = 0;
            for (int i = 0; i < STRIDE * size; i += STRIDE) {
                sumOfFirst += values[i + 1];
                sumOfSecond += values[i + 2];
            }
            sumsAreCurrent = true;
        }
    }

    double sumOfFirst() {
        updateSums();
        return sumOfFirst;
    }

    double sumOfSecond() {
        updateSums();
        return sumOfSecond;
    }

    /**
     * Returns the weighted mean of the second figures. The weight of a sample falls linearly with
     * its age, to 0 at the end of the memory.
     *
     * @param priorWeight the weight of an additional sample with a value of 0
     * @param excess a term that is added to the weighted sum
     */
    double linearlyDecayedMeanOfSecond(
            double now, double memorySeconds, double priorWeight, double excess) {
        double sum = excess;
        double weights = priorWeight;
        for (int i = 0; i < size; i++) {
            double weight = Math.max(0, 1 - (now - time(i)) / memorySeconds);
            sum += weight * second(i);
            weights += weight;
        }
        return sum / weights;
    }

    /**
     * Returns the weighted mean of the first figures. The weight of a sample decays about
     * exponentially with its age.
     *
     * @param priorSum a term that is added to the weighted sum
     * @param priorWeight a term that is added to the sum of the weights
     */
    double decayedMeanOfFirst(
            double now, double memorySeconds, double priorSum, double priorWeight) {
        double sum = 0;
        double weights = 0;
        for (int i = 0; i < STRIDE * size; i += STRIDE) {
            double weight = decayedWeight(now - values[i], memorySeconds);
            sum += weight * values[i + 1];
            weights += weight;
        }
        return (priorSum + sum) / (priorWeight + weights);
    }

    /**
     * Returns a factor times the ratio of the weighted sum of the first figures to that of the
     * second figures. The weight of a sample decays about exponentially with its age.
     *
     * @param priorFirst a term that is added to the weighted sum of the first figures
     * @param priorSecond a term that is added to the weighted sum of the second figures
     */
    double decayedRatio(
            double now,
            double memorySeconds,
            double priorFirst,
            double priorSecond,
            double factor) {
        double first = 0;
        double second = 0;
        for (int i = 0; i < STRIDE * size; i += STRIDE) {
            double weight = decayedWeight(now - values[i], memorySeconds);
            first += weight * values[i + 1];
            second += weight * values[i + 2];
        }
        return factor * (priorFirst + first) / (priorSecond + second);
    }

    /** Returns an approximation of exp(-age / memory) that is cheap to compute. */
    private static double decayedWeight(double ageSeconds, double memorySeconds) {
        double x = ageSeconds / memorySeconds;
        return 1 / (1 + x + x * x / 2);
    }

    double maxOfFirst() {
        double max = 0;
        for (int i = 0; i < size; i++) {
            max = Math.max(max, first(i));
        }
        return max;
    }

    /** Returns the mean of the first figures, or the default if their sum is not above 0. */
    double meanOfFirst(double defaultMean) {
        double sum = sumOfFirst();
        return sum > 0 ? sum / size : defaultMean;
    }

    /** Returns the mean of the second figures, or 1 without samples. */
    double meanOfSecond() {
        return size > 0 ? sumOfSecond() / size : 1;
    }

    /** Returns the mean of the products of both figures, or 1 without samples. */
    double meanOfProduct() {
        double sum = 0;
        for (int i = 0; i < size; i++) {
            sum += first(i) * second(i);
        }
        return size > 0 ? sum / size : 1;
    }

    private double spanSeconds(double now) {
        double oldest = time(isFull() ? next : 0);
        return Math.max(now - oldest, 1);
    }

    /** Returns the number of samples per second since the oldest one; 0 without samples. */
    double rate(double now) {
        return size > 0 ? size / spanSeconds(now) : 0;
    }

    /**
     * Returns the sum of the first figures per second since the oldest sample; 0 without samples.
     */
    double rateOfFirst(double now) {
        return size > 0 ? sumOfFirst() / spanSeconds(now) : 0;
    }

    double sumOfFirstSince(double from) {
        double sum = 0;
        for (int i = 0; i < size; i++) {
            sum += time(i) >= from ? first(i) : 0;
        }
        return sum;
    }

    /** Returns the number of samples with this time or a later one. */
    public int countSince(double from) {
        int count = 0;
        for (int i = 0; i < size; i++) {
            count += time(i) >= from ? 1 : 0;
        }
        return count;
    }
}
