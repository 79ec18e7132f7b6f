package wheelroute.decision.estimates;

/**
 * The last samples of a measurement. Each is a time in seconds and two figures; the owner of a
 * window documents what they are.
 */
public final class SampleWindow {
    /** Numbers per sample: its time and two figures. */
    private static final int STRIDE = 3;

    private final double[] values;
    private final int capacity;
    private int next;
    private int size;

    /** Sums over all samples, computed on demand after a change. */
    private double sumOfFirst;

    private double sumOfSecond;
    private boolean sumsAreCurrent = true;

    /** Creates an empty window that keeps the last samples up to its capacity. */
    public SampleWindow(int capacity) {
        this.capacity = capacity;
        values = new double[STRIDE * capacity];
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
     * Returns the samples as triples, the oldest first, each with its age in place of its time: for
     * a process with another clock.
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

    /** Adds samples exported by another process. */
    void restore(double now, double[] exported) {
        for (int i = 0; i + STRIDE <= exported.length; i += STRIDE) {
            add(now - exported[i], exported[i + 1], exported[i + 2]);
        }
    }

    /** Drops all samples. */
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
     * Returns the time since which no sample was dropped.
     *
     * @param earliest the answer while the window is not full
     */
    double completeSince(double earliest) {
        return isFull() ? time(next) : earliest;
    }

    private double time(int i) {
        return values[STRIDE * i];
    }

    /** Returns the first figure of a sample, in no particular order of samples. */
    double first(int i) {
        return values[STRIDE * i + 1];
    }

    /** Returns the second figure of a sample, in the same order as {@link #first}. */
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
     * Returns the mean of the second figures, in which the weight of samples falls linearly with
     * their age, to 0 at the end of the memory.
     *
     * @param priorWeight the weight of an additional sample of 0
     * @param excess added to the weighted sum
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
     * Returns the mean of the first figures, in which the weight of samples falls with their age.
     *
     * @param priorSum added to the weighted sum
     * @param priorWeight added to the weights
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
     * Returns a factor times the ratio of the first figures to the second ones, in which the weight
     * of samples falls with their age.
     *
     * @param priorFirst added to the weighted sum of the first figures
     * @param priorSecond added to the weighted sum of the second figures
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

    /** An approximation of an exponential that is cheap to compute. */
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

    /** Returns the mean of the first figures; the default where their sum is 0. */
    double meanOfFirst(double defaultMean) {
        double sum = sumOfFirst();
        return sum > 0 ? sum / size : defaultMean;
    }

    /** Returns the mean of the second figures; 1 without samples. */
    double meanOfSecond() {
        return size > 0 ? sumOfSecond() / size : 1;
    }

    /** Returns the mean of the products of both figures; 1 without samples. */
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

    /** Returns the samples per second. */
    double rate(double now) {
        return size > 0 ? size / spanSeconds(now) : 0;
    }

    /** Returns the sum of the first figures per second. */
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

    /** Returns the number of samples from this time on. */
    public int countSince(double from) {
        int count = 0;
        for (int i = 0; i < size; i++) {
            count += time(i) >= from ? 1 : 0;
        }
        return count;
    }
}
