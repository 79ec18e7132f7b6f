package wheelroute.decision.estimates;

import java.util.Arrays;

/**
 * Computes when each slot of a worker becomes free, assuming that the attempts in flight take the
 * slots in the order in which they were sent. The schedule is rebuilt for each estimate. Times are
 * in seconds from now.
 */
final class SlotSchedule {
    private double[] freeAfterSeconds = new double[1];
    private int count = 1;

    /** Resets the schedule to this number of slots, all free at once. */
    void reset(int slotCount) {
        count = slotCount;
        if (freeAfterSeconds.length < count) {
            freeAfterSeconds = new double[count];
        }
        Arrays.fill(freeAfterSeconds, 0);
    }

    /** Adds a job that takes its slots as soon as they are free, and keeps them for this time. */
    void occupy(double slotsNeeded, double seconds) {
        int last = startingSlot(slotsNeeded);
        freeAfterSeconds[last] += seconds;
        for (int i = 0; slotsNeeded > 1 && i < last; i++) {
            freeAfterSeconds[i] = freeAfterSeconds[last];
        }
    }

    /** Returns the seconds until the start of a job that comes after all jobs added so far. */
    double secondsUntilStart(double slotsNeeded) {
        return freeAfterSeconds[startingSlot(slotsNeeded)];
    }

    /** Returns the sum, over all slots, of the seconds until the slot is free. */
    double totalSeconds() {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += freeAfterSeconds[i];
        }
        return sum;
    }

    /**
     * Returns the index of the slot that is the last to become free among those that a job needs.
     * If the job needs more than one slot, the slots are sorted, so that the others precede that
     * index.
     */
    private int startingSlot(double slotsNeeded) {
        if (slotsNeeded > 1) {
            Arrays.sort(freeAfterSeconds, 0, count);
            return Math.min(count, (int) Math.ceil(slotsNeeded)) - 1;
        }
        int first = 0;
        for (int i = 1; i < count; i++) {
            first = freeAfterSeconds[i] < freeAfterSeconds[first] ? i : first;
        }
        return first;
    }
}
