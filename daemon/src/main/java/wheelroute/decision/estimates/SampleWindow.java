package wheelroute.decision.estimates;

/** The last few samples of a measurement, each a time in seconds and a pair of figures. */
public final class SampleWindow {
    private final double[] values;
    private int next;
    private int size;

    /** Sums over all samples, worked out when they are asked for after a change. */
    private double sumOfFirst;

    private double sumOfSecond;
    private boolean sumsAreCurrent = true;
    private double decayedFirst;
    private double decayedSecond;
    private double decayedWeight;

    /** Creates an empty window that keeps the last samples up to its capacity. */
    public SampleWindow(int capacity) {
        values = new double[3 * capacity];
    }

    /** Adds a sample; the oldest is dropped when the window is full. */
    public void add(double time, double first, double second) {
        values[3 * next] = time;
        values[3 * next + 1] = first;
        values[3 * next + 2] = second;
        next = (next + 1) % (values.length / 3);
        size = Math.min(size + 1, values.length / 3);
        sumsAreCurrent = false;
    }

    /**
     * The samples as triples, the oldest first, each with its age in place of its time: for a
     * process with another clock.
     */
    double[] export(double now) {
        double[] exported = new double[3 * size];
        for (int i = 0; i < size; i++) {
            int from = 3 * ((size < values.length / 3 ? i : next + i) % (values.length / 3));
            exported[3 * i] = now - values[from];
            exported[3 * i + 1] = values[from + 1];
            exported[3 * i + 2] = values[from + 2];
        }
        return exported;
    }

    void restore(double now, double[] exported) {
        for (int i = 0; i + 2 < exported.length; i += 3) {
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

    /**
     * The time since which no sample is missing: that of the oldest sample once the window is full.
     *
     * @param earliest the answer while the window has room
     */
    double completeSince(double earliest) {
        return size < values.length / 3 ? earliest : time(next);
    }

    double time(int i) {
        return values[3 * i];
    }

    double first(int i) {
        return values[3 * i + 1];
    }

    double second(int i) {
        return values[3 * i + 2];
    }

    private void updateSums() {
        if (!sumsAreCurrent) {
            sumOfFirst = 0;
            sumOfSecond = 0;
            for (int i = 0; i < 3 * size; i += 3) {
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
     * The mean of the second figures, in which samples weigh less with age, falling to 0 at the end
     * of the memory.
     *
     * @param priorWeight the weight of a prior sample of 0
     * @param excess added to the weighted sum
     */
    double decayedSecond(double now, double memory, double priorWeight, double excess) {
        double sum = excess;
        double weights = priorWeight;
        for (int i = 0; i < size; i++) {
            double weight = Math.max(0, 1 - (now - time(i)) / memory);
            sum += weight * second(i);
            weights += weight;
        }
        return sum / weights;
    }

    /**
     * Works out the sums in which samples weigh less with age, by a cheap likeness of an
     * exponential.
     */
    void computeDecayedSums(double now, double memory) {
        decayedFirst = 0;
        decayedSecond = 0;
        decayedWeight = 0;
        for (int i = 0; i < 3 * size; i += 3) {
            double x = (now - values[i]) / memory;
            double weight = 1 / (1 + x + x * x / 2);
            decayedFirst += weight * values[i + 1];
            decayedSecond += weight * values[i + 2];
            decayedWeight += weight;
        }
    }

    double decayedFirst() {
        return decayedFirst;
    }

    double decayedSecond() {
        return decayedSecond;
    }

    double decayedWeight() {
        return decayedWeight;
    }

    double maxOfFirst() {
        double max = 0;
        for (int i = 0; i < size; i++) {
            max = Math.max(max, first(i));
        }
        return max;
    }

    double meanOfFirst(double defaultMean) {
        double sum = sumOfFirst();
        return sum > 0 ? sum / size : defaultMean;
    }

    double meanOfSecond() {
        return size > 0 ? sumOfSecond() / size : 1;
    }

    double meanOfProduct() {
        double sum = 0;
        for (int i = 0; i < size; i++) {
            sum += first(i) * second(i);
        }
        return size > 0 ? sum / size : 1;
    }

    private double span(double now) {
        double oldest = time(size < values.length / 3 ? 0 : next);
        return Math.max(now - oldest, 1);
    }

    double rate(double now) {
        return size > 0 ? size / span(now) : 0;
    }

    double rateOfFirst(double now) {
        return size > 0 ? sumOfFirst() / span(now) : 0;
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
