package wheelroute.decision;

/**
 * What was measured of all workers of one model: a new one's speed, and how many jobs one runs at a
 * time.
 */
final class OfModel {
    private static final double STANDARD = 1;

    /** What its workers carry is read off so long: at one answer a second fewer would be chance. */
    private static final double CARRIED_OVER = 20;

    private static final int FEWEST_CARRIED = 3;
    private static final int KEPT = 64;

    final Samples runs;

    /** How long launches lately waited to start, and how much of it ours do not explain. */
    final Samples waits;

    /** Work answered by warm workers, over all its slots, in parts of a worker. */
    private final Samples carried;

    private double carriesAt = Double.NaN;
    private double carries;

    /**
     * Workers that were ready and warm at the list's last word: what these answer is what is
     * counted.
     */
    int carriers;

    int slots;
    double speed = STANDARD;

    /** The mean of what ours do not explain, over the usual memory and over a short one. */
    double unseenNow;

    double freshNow;

    /**
     * By how much in all the launches not yet started have waited past the mean, as last looked at.
     */
    double stillWaiting;

    /** Waits guessed from answers are as noisy as the sizes of jobs. */
    private final double prior;

    OfModel(Samples runs, Samples waits, double prior) {
        this.runs = runs;
        this.waits = waits;
        this.prior = prior;
        this.carried = new Samples(KEPT);
    }

    Learned.OfModel told(double now) {
        return new Learned.OfModel(slots, runs.told(now), waits.told(now));
    }

    /** Waits are this model's own only where starts are told. */
    void take(double now, Learned.OfModel told, boolean withWaits) {
        slots = told.slots();
        runs.take(now, told.runs());
        fit();
        if (withWaits) {
            waits.take(now, told.waits());
        }
    }

    void fit() {
        speed = runs.size() > 0 ? runs.sumOfFirst() / runs.sumOfSecond() : speed;
    }

    /** Work answered by one of the carriers. */
    void answered(double now, double work) {
        carried.add(now, work / carriers, 0);
    }

    /**
     * The work that one of its warm workers has done for us in a second, as a mean since then at
     * most.
     */
    double carries(double now, double since) {
        if (now != carriesAt) {
            carriesAt = now;
            double from = Math.max(Math.max(since, now - CARRIED_OVER), carried.oldest(since));
            carries =
                    carried.countSince(from) < FEWEST_CARRIED
                            ? 0
                            : carried.sumOfFirstSince(from) / Math.max(now - from, 1);
        }
        return carries;
    }

    /**
     * Guards against bouncing on old waits: without launches no new wait is seen, so old ones fade.
     */
    void figure(double now, double memory, double fresh) {
        unseenNow = waits.fadedSecond(now, memory, prior, stillWaiting);
        freshNow = waits.fadedSecond(now, fresh, prior, stillWaiting);
    }
}
