package wheelroute.decision.estimates;

import java.util.Arrays;

/**
 * When each slot of a worker becomes free, if the attempts in flight take the slots in the order of
 * their sends. Filled anew for each estimate; times are in seconds from now.
 */
final class SlotSchedule {
    private double[] freeAfterSeconds = new double[1];
    private int count = 1;

    /** Makes so many slots free at once. */
    void reset(int slotCount) {
        count = slotCount;
        if (freeAfterSeconds.length < count) {
            freeAfterSeconds = new double[count];
        }
        Arrays.fill(freeAfterSeconds, 0);
    }

    /** Adds a job that takes its slots as soon as they are free, and keeps them for so long. */
    void occupy(double slotsNeeded, double seconds) {
        int last = startingSlot(slotsNeeded);
        freeAfterSeconds[last] += seconds;
        for (int i = 0; slotsNeeded > 1 && i < last; i++) {
            freeAfterSeconds[i] = freeAfterSeconds[last];
        }
    }

    /** Returns the seconds until a job starts that comes after all those added. */
    double secondsUntilStart(double slotsNeeded) {
        return freeAfterSeconds[startingSlot(slotsNeeded)];
    }

    /** Returns the sum over all slots of the seconds until each is free. */
    double totalSeconds() {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += freeAfterSeconds[i];
        }
        return sum;
    }

    /** Returns the last of the slots that a job needs; the others come before that one. */
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
