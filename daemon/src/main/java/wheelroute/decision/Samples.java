package wheelroute.decision;

/** The last few samples of a measurement, each a time and two figures. */
final class Samples {
    private final double[] kept;
    private int next;
    private int size;

    /** Sums over all, worked out when they are asked for after a change. */
    private double firsts;

    private double seconds;
    private boolean summed = true;
    private double fadedFirst;
    private double fadedSecond;
    private double fadedWeight;

    Samples(int most) {
        kept = new double[3 * most];
    }

    void add(double time, double first, double second) {
        kept[3 * next] = time;
        kept[3 * next + 1] = first;
        kept[3 * next + 2] = second;
        next = (next + 1) % (kept.length / 3);
        size = Math.min(size + 1, kept.length / 3);
        summed = false;
    }

    /** As triples, each with its age in place of its time, the oldest first: for another clock. */
    double[] told(double now) {
        double[] told = new double[3 * size];
        for (int i = 0; i < size; i++) {
            int from = 3 * ((size < kept.length / 3 ? i : next + i) % (kept.length / 3));
            told[3 * i] = now - kept[from];
            told[3 * i + 1] = kept[from + 1];
            told[3 * i + 2] = kept[from + 2];
        }
        return told;
    }

    void take(double now, double[] told) {
        for (int i = 0; i + 2 < told.length; i += 3) {
            add(now - told[i], told[i + 1], told[i + 2]);
        }
    }

    void clear() {
        next = 0;
        size = 0;
        summed = false;
    }

    int size() {
        return size;
    }

    /**
     * From when on it has all there were: from its oldest once it has begun to forget, else since
     * always.
     */
    double oldest(double always) {
        return size < kept.length / 3 ? always : time(next);
    }

    double time(int i) {
        return kept[3 * i];
    }

    double first(int i) {
        return kept[3 * i + 1];
    }

    double second(int i) {
        return kept[3 * i + 2];
    }

    private void sum() {
        if (!summed) {
            firsts = 0;
            seconds = 0;
            for (int i = 0; i < 3 * size; i += 3) {
                firsts += kept[i + 1];
                seconds += kept[i + 2];
            }
            summed = true;
        }
    }

    double sumOfFirst() {
        sum();
        return firsts;
    }

    double sumOfSecond() {
        sum();
        return seconds;
    }

    /**
     * The second figure's mean, samples weighing less with age, and so many more that add up to
     * excess.
     */
    double fadedSecond(double now, double memory, double prior, double excess) {
        double sum = excess;
        double weights = prior;
        for (int i = 0; i < size; i++) {
            double weight = Math.max(0, 1 - (now - time(i)) / memory);
            sum += weight * second(i);
            weights += weight;
        }
        return sum / weights;
    }

    /**
     * Works out the sums in which samples weigh less with age: an exponential's start without its
     * price.
     */
    void fade(double now, double memory) {
        fadedFirst = 0;
        fadedSecond = 0;
        fadedWeight = 0;
        for (int i = 0; i < 3 * size; i += 3) {
            double x = (now - kept[i]) / memory;
            double weight = 1 / (1 + x + x * x / 2);
            fadedFirst += weight * kept[i + 1];
            fadedSecond += weight * kept[i + 2];
            fadedWeight += weight;
        }
    }

    double fadedFirst() {
        return fadedFirst;
    }

    double fadedSecond() {
        return fadedSecond;
    }

    double fadedWeight() {
        return fadedWeight;
    }

    double mostOfFirst() {
        double most = 0;
        for (int i = 0; i < size; i++) {
            most = Math.max(most, first(i));
        }
        return most;
    }

    double meanOfFirst(double none) {
        double sum = sumOfFirst();
        return sum > 0 ? sum / size : none;
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
        double oldest = time(size < kept.length / 3 ? 0 : next);
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

    int countSince(double from) {
        int n = 0;
        for (int i = 0; i < size; i++) {
            n += time(i) >= from ? 1 : 0;
        }
        return n;
    }
}
