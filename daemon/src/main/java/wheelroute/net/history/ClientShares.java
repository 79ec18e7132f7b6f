package wheelroute.net.history;

import java.util.Arrays;

/**
 * Divides the entries of the history among clients, so that one client cannot use up what the
 * others need. A client may hold a multiple of what is left, so that a few clients can use almost
 * everything and each further one still finds a part (Choudhury and Hahne, "Dynamic Queue Length
 * Thresholds for Shared-Memory Packet Switches", 1998). The last part is for clients that hold
 * little.
 *
 * <p>Entries are counted for as long as they are kept, also after their client has left: its number
 * goes to the next client. How many a client holds is known by the period in which they expire,
 * rather than by entry. Not thread-safe; times are in seconds.
 */
final class ClientShares {
    private static final int MAX_MULTIPLE_OF_FREE = 64;

    /** The part of the capacity that is for clients that hold little. */
    private static final double RESERVED_FRACTION = 1 / 64.0;

    /** Of more clients than this, some are counted together, so that the memory is bounded. */
    private static final int MAX_CLIENTS = 4096;

    /** The periods into which the longest time is divided for which an entry is kept. */
    private static final int PERIODS = 8;

    /** Entries expire in the current period, in one of the next ones, or just after those. */
    private static final int RING_PERIODS = PERIODS + 2;

    private final double periodSeconds;
    private final int capacity;
    private final int reservedEntries;
    private final int smallShare;

    /** By client, and by the period of the expiry modulo the number of periods in the ring. */
    private final int[] heldInPeriod;

    /** By client. */
    private final int[] held;

    private long currentPeriod;

    /**
     * Creates shares of which nothing is held.
     *
     * @param capacity the number of entries that there can be
     * @param maxClients the number of clients that there can be at the same time
     */
    ClientShares(int capacity, int maxClients, double maxRetentionSeconds) {
        this.capacity = capacity;
        periodSeconds = maxRetentionSeconds / PERIODS;
        reservedEntries = (int) (RESERVED_FRACTION * capacity);
        int countedClients = Math.min(maxClients, MAX_CLIENTS);
        smallShare = capacity / 2 / countedClients;
        heldInPeriod = new int[countedClients * RING_PERIODS];
        held = new int[countedClients];
    }

    /**
     * Returns whether a client may hold one more entry.
     *
     * @param entries the number of all entries, also of those that no client holds
     */
    boolean mayHoldMore(int client, int entries, double now) {
        advanceTo(now);
        int heldByClient = held[indexOf(client)];
        long free = (long) capacity - entries;
        return heldByClient < MAX_MULTIPLE_OF_FREE * (free - reservedEntries)
                || (free > 0 && heldByClient < smallShare);
    }

    /** Adds an entry to those that a client holds. */
    void add(int client, double expiresAt, double now) {
        advanceTo(now);
        int index = indexOf(client);
        heldInPeriod[ringIndex(index, expiresAt)]++;
        held[index]++;
    }

    /** Takes an entry back that was added with the same time of expiry. */
    void remove(int client, double expiresAt, double now) {
        advanceTo(now);
        int index = indexOf(client);
        int ringIndex = ringIndex(index, expiresAt);
        if (heldInPeriod[ringIndex] > 0) {
            heldInPeriod[ringIndex]--;
            held[index]--;
        }
    }

    private int indexOf(int client) {
        return Math.floorMod(client, held.length);
    }

    private int ringIndex(int clientIndex, double expiresAt) {
        long period = Math.min((long) (expiresAt / periodSeconds), currentPeriod + PERIODS + 1);
        return clientIndex * RING_PERIODS + (int) (period % RING_PERIODS);
    }

    private void advanceTo(double now) {
        long period = (long) (now / periodSeconds);
        if (period - currentPeriod >= RING_PERIODS) {
            Arrays.fill(heldInPeriod, 0);
            Arrays.fill(held, 0);
            currentPeriod = period;
        }
        for (; currentPeriod < period; currentPeriod++) {
            expire((int) (currentPeriod % RING_PERIODS));
        }
    }

    private void expire(int ringPeriod) {
        for (int index = 0; index < held.length; index++) {
            int ringIndex = index * RING_PERIODS + ringPeriod;
            held[index] -= heldInPeriod[ringIndex];
            heldInPeriod[ringIndex] = 0;
        }
    }
}
