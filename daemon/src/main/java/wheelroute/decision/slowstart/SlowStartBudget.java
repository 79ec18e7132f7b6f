package wheelroute.decision.slowstart;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the work that one dispatcher sends to a worker in slow start, so that all dispatchers
 * together do not overload it while it warms up.
 *
 * <p>A worker collapses when more than N + 2 sqrt(N) + 2 requests of mean work arrive within a
 * window, where N is what the settings allow at that time. The collapse is attributed to the
 * dispatchers if more than two thirds of those requests came from dispatchers that had been
 * notified of its start.
 *
 * <p><b>The bound.</b> Let B be {@link #BUDGET_FRACTION} of the work that the settings allow in a
 * window, by the worker's capacity at the beginning of that window, where it is lowest. The
 * notified dispatchers send, in any window:
 *
 * <ul>
 *   <li>divided evenly, D dispatchers with a share of B/D each: B. No share is rounded up: work is
 *       counted, not requests, and a request that does not fit is not sent;
 *   <li>in rotation, G dispatchers at a time, the numbers c-G+1 to c, where c advances by one with
 *       each turn: a window overlaps two turns, in which G+1 dispatchers are admitted. Each counts
 *       what it sent in the window that ends now, in either turn, and stays within B/(G+1): B
 *       again;
 *   <li>two processes of one dispatcher, during a handover: half of its share each;
 *   <li>for an absent dispatcher, whoever holds its share by lease: that share, not more. In the
 *       window in which a lease changes hands both may have used it; that is half of one share;
 *   <li>retries, hedged requests, and requests that the worker rejects: each attempt is counted
 *       when it is decided on, whatever its outcome. There are no health checks;
 *   <li>what a dispatcher sent after the start, before it was notified of it, counts from the start
 *       on: it does not send its share on top.
 * </ul>
 *
 * <p>So they send at most B, which is less than two thirds of N. Whatever arrives from dispatchers
 * that are not notified yet, more than a third of the requests of a collapse come from them then,
 * and it is not attributed to the notified ones.
 *
 * <p><b>What remains random.</b> B and G come from each dispatcher's own estimates. All are
 * admitted at the same end of the group and the first turn is drawn from the start, so over that
 * draw each has its B/(G+1) in G+1 windows out of D, a mean of B/D whatever its G, and the mean of
 * the sum is the mean of their B. Groups of one turn are nested: if their G differ by at most a
 * factor r, no draw gives more than B (1 + ln r). Cost estimates deviate from the true work in both
 * directions, and arrivals are delayed against departures by network jitter. The 2 sqrt(N) + 2
 * cover these, and no part of them is allocated.
 *
 * <p>Times and windows are in seconds, work in the unit of the caller's cost estimates. Not
 * thread-safe.
 */
public final class SlowStartBudget {
    /**
     * Below two thirds, above which a collapse is attributed to the dispatchers; leaves a margin
     * for rough cost estimates and an estimated worker capacity.
     */
    private static final double BUDGET_FRACTION = 0.65;

    /** A share holds at least this many requests of mean work; most would not fit a smaller one. */
    private static final double MIN_REQUESTS_PER_SHARE = 1;

    /** Which dispatchers' shares may be used here: this one's, and those held by lease. */
    public interface Shares {
        /** The fraction of that dispatcher's share that may be used here, from 0 to 1. */
        double ofDispatcher(int dispatcher);

        /** The fraction of all shares together that may be used here, from 0 to 1. */
        double total();
    }

    /**
     * The settings that hold for all workers in slow start.
     *
     * @param dispatchers the number of dispatchers
     * @param position this dispatcher's index among them; negative if unknown
     * @param multiple a worker collapses at this multiple of its capacity within the window
     */
    public record Limits(int dispatchers, int position, double multiple, double windowSeconds) {}

    /** The work of one attempt. */
    private record SentWork(double sentAt, double work) {}

    private final Limits limits;
    private final Deque<SentWork> sentWork = new ArrayDeque<>();

    /** NaN until the start is known; all recent work counts while it is. */
    private double startedAt = Double.NaN;

    private long firstTurn;

    /** Creates the budget of one worker, of whose start nothing is known yet. */
    public SlowStartBudget(Limits limits) {
        this.limits = limits;
    }

    /**
     * Sets when the worker started.
     *
     * @param time as the endpoint list has it
     * @param draw from 0 to 1, chooses the dispatcher of the first turn; all dispatchers must draw
     *     the same
     */
    public void onWorkerStarted(double time, double draw) {
        startedAt = time;
        firstTurn = (long) (draw * limits.dispatchers);
    }

    /**
     * Counts an attempt sent to the worker. Also called before its start is known, since the
     * attempt may fall into the first window after the start.
     */
    public void recordSent(double now, double work) {
        while (!sentWork.isEmpty() && sentWork.peekFirst().sentAt <= now - limits.windowSeconds) {
            sentWork.pollFirst();
        }
        sentWork.addLast(new SentWork(now, work));
    }

    /**
     * Whether this much more work stays within this dispatcher's share.
     *
     * @param capacity work that the worker completes in a window at its ramp fraction at the
     *     window's beginning; this process's portion during a handover
     * @param meanWork of a request
     */
    public boolean allows(
            double now, double work, double capacity, double meanWork, Shares shares) {
        double sum = work;
        for (SentWork sent : sentWork) {
            boolean counts = sent.sentAt > now - limits.windowSeconds && !(sent.sentAt < startedAt);
            sum += counts ? sent.work : 0;
        }
        double budget = BUDGET_FRACTION * limits.multiple * capacity;
        return sum <= budget * share(now, budget, meanWork, shares);
    }

    private double share(double now, double budget, double meanWork, Shares shares) {
        int group = groupSize(budget, meanWork);
        // An even division, unless its shares would be too small for any request: then the worker
        // would stay unused, and dispatchers take turns instead.
        if (limits.position < 0
                || limits.dispatchers <= limits.multiple
                || group + 1 >= limits.dispatchers) {
            return shares.total();
        }
        long turn = (long) (Math.max(0, now - startedAt) / limits.windowSeconds);
        double sum = 0;
        for (int i = 0; i < group; i++) {
            long dispatcher = Math.floorMod(firstTurn + turn - i, (long) limits.dispatchers);
            sum += shares.ofDispatcher((int) dispatcher);
        }
        return sum / (group + 1);
    }

    /**
     * Returns how many dispatchers are admitted per turn: as many as have shares that fit a
     * request.
     */
    private int groupSize(double budget, double meanWork) {
        double shareCount =
                Math.min(limits.dispatchers, budget / (MIN_REQUESTS_PER_SHARE * meanWork));
        return (int) Math.max(1, shareCount - 1);
    }
}
