package wheelroute.net.memory;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory for responses: of workers that have sent a part of a long line, and to clients that
 * have not read all of it yet.
 *
 * <p>A line reserves the maximum size of a line at once. If lines reserved memory as their parts
 * arrive, all of it could be taken by incomplete lines, none of which could ever be completed.
 * Connections whose reservation is not granted yet wait in the order in which they asked; their
 * bytes stay in the buffers of the operating system, so that a response that has arrived completely
 * in the meantime is read in one go.
 *
 * <p>Used on the event loop's thread only.
 */
public final class ResponseMemory {
    /** The maximum length of a worker's line, by which the protocol limits the result in it. */
    public static final int MAX_LINE_BYTES = 64 * 1024;

    private final MemoryQuota quota;

    /** The reservations that have not been granted, in order. */
    private final Set<Reservation> waiting = new LinkedHashSet<>();

    /**
     * Creates a memory without any reservations.
     *
     * @param limitBytes the maximum number of bytes; at least one line is always granted
     */
    public ResponseMemory(long limitBytes) {
        quota = new MemoryQuota(Math.max(MAX_LINE_BYTES, limitBytes));
    }

    /** The memory for one line, which is reserved or awaited until it is released. */
    public final class Reservation {
        private final Runnable onGranted;
        private boolean granted;

        private Reservation(Runnable onGranted) {
            this.onGranted = onGranted;
        }

        /** Whether the line may be read. */
        public boolean isGranted() {
            return granted;
        }

        /** Returns the memory, or stops waiting for it. Must be called once. */
        public void release() {
            if (granted) {
                releaseBytes(MAX_LINE_BYTES);
            } else {
                waiting.remove(this);
            }
        }
    }

    /**
     * Reserves the memory for one line.
     *
     * @param onGranted called when the memory is granted, unless that is so when this method
     *     returns; must not reserve or release memory itself
     */
    public Reservation reserveLine(Runnable onGranted) {
        Reservation reservation = new Reservation(onGranted);
        reservation.granted = waiting.isEmpty() && quota.tryReserve(MAX_LINE_BYTES);
        if (!reservation.granted) {
            waiting.add(reservation);
        }
        return reservation;
    }

    /**
     * Counts a complete response that is being written to its client, even over the limit, so that
     * fewer lines are granted meanwhile.
     */
    public void reserveBytes(int bytes) {
        quota.reserve(bytes);
    }

    /** Returns the memory of a response, and grants what fits then. */
    public void releaseBytes(int bytes) {
        quota.release(bytes);
        while (!waiting.isEmpty() && quota.tryReserve(MAX_LINE_BYTES)) {
            Reservation next = waiting.iterator().next();
            waiting.remove(next);
            next.granted = true;
            next.onGranted.run();
        }
    }
}
