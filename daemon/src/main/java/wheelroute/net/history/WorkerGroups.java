package wheelroute.net.history;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;

/**
 * Numbers the zones and cells of workers, so that an entry of the history can name them in a few
 * bits. A number is used again once no entry has it. Not thread-safe.
 */
final class WorkerGroups {
    /** The bits of a number. */
    static final int INDEX_BITS = 10;

    /** Stands for all groups for which no number was left. */
    static final int UNKNOWN = 0;

    /** A zone and a cell, which together are all that restricts a repeat. */
    record Group(Ids.Zone zone, Ids.Cell cell) {}

    private final Map<Group, Integer> indexes = new HashMap<>();
    private final Group[] groups = new Group[1 << INDEX_BITS];
    private final int[] entryCounts = new int[1 << INDEX_BITS];

    /** Counts an entry and returns the number of its group, or {@link #UNKNOWN}. */
    int add(Ids.Zone zone, Ids.Cell cell) {
        Group group = new Group(zone, cell);
        int index = zone == null ? UNKNOWN : indexes.computeIfAbsent(group, g -> freeIndex());
        if (index == UNKNOWN) {
            indexes.remove(group);
        } else {
            groups[index] = group;
            entryCounts[index]++;
        }
        return index;
    }

    private int freeIndex() {
        for (int index = UNKNOWN + 1; index < groups.length; index++) {
            if (entryCounts[index] == 0) {
                return index;
            }
        }
        return UNKNOWN;
    }

    /** Records that an entry with this number was removed. */
    void remove(int index) {
        if (index != UNKNOWN && --entryCounts[index] == 0) {
            indexes.remove(groups[index]);
            groups[index] = null;
        }
    }

    /** Returns a copy of the groups by their numbers, with null where there is none. */
    Group[] copy() {
        return groups.clone();
    }

    /** Returns what an attempt at a worker of this group restricts. */
    EarlierAttempt attemptIn(int index, double sentAt) {
        Group group = groups[index];
        return group == null
                ? EarlierAttempt.atUnknownWorker(sentAt)
                : new EarlierAttempt(group.zone, group.cell, sentAt);
    }
}
