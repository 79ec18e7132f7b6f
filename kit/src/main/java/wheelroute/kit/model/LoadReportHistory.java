package wheelroute.kit.model;

import java.util.ArrayDeque;

/** The free slots of a worker over time, from which delayed load reports are derived. */
final class LoadReportHistory {
    private record Sample(double at, int freeSlots) {}

    private final int slots;
    private final double lagSeconds;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /**
     * Creates the history of a worker whose slots are all free.
     *
     * @param lagSeconds the age of a load report when it is sent; negative if none are sent
     */
    LoadReportHistory(int slots, double lagSeconds) {
        this.slots = slots;
        this.lagSeconds = lagSeconds;
    }

    void record(double now, int freeSlots) {
        if (lagSeconds >= 0) {
            samples.addLast(new Sample(now, freeSlots));
        }
    }

    /**
     * Returns the free slots that a load report sent now contains; NaN if no reports are sent.
     *
     * @param extraLagSeconds the additional age of reports, caused by faults
     */
    double reportedFreeSlots(double now, double extraLagSeconds) {
        if (lagSeconds < 0) {
            return Double.NaN;
        }
        double asOf = now - lagSeconds - extraLagSeconds;
        double freeSlots = slots;
        while (samples.size() > 1 && samples.peekFirst().at() <= asOf) {
            freeSlots = samples.pollFirst().freeSlots();
        }
        if (!samples.isEmpty() && samples.peekFirst().at() <= asOf) {
            freeSlots = samples.peekFirst().freeSlots();
        }
        return freeSlots;
    }
}
