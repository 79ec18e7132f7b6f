package wheelroute.decision.slowstart;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the work that one dispatcher sends to a worker in slow start, so that all dispatchers
 * together do not overload the worker while it warms up.
 *
 * <p>A worker collapses when more than N + 2 sqrt(N) + 2 requests of mean work arrive within a
 * window, where N is the number that the settings allow at that time. The collapse is attributed to
 * the dispatchers if more than two thirds of those requests came from dispatchers that had been
 * notified of the worker's start.
 *
 * <p><b>The bound.</b> Let B be {@link #BUDGET_FRACTION} of the work that the settings allow in a
 * window, by the worker's capacity at the beginning of that window, where it is lowest. The
 * notified dispatchers send, in any window:
 *
 * <ul>
 *   <li>if the budget is divided evenly, D dispatchers with a share of B/D each, together B. No
 *       share is rounded up, because work is counted rather than requests, and a request that does
 *       not fit is not sent;
 *   <li>in rotation, G dispatchers at a time, the numbers c-G+1 to c, where c advances by one with
 *       each turn. A window overlaps two turns, in which G+1 dispatchers are admitted. Each counts
 *       what it sent in the window that ends now, in either turn, and stays within B/(G+1), so
 *       together they send at most B again;
 *   <li>two processes of one dispatcher, during a handover, half of its share each;
 *   <li>for an absent dispatcher, whoever holds its share by lease sends that share and not more.
 *       In the window in which a lease changes hands, both holders may have used it, which amounts
 *       to half of one share;
 *   <li>retries, hedged requests, and requests that the worker rejects are included, because each
 *       attempt is counted when it is decided on, whatever its outcome. There are no health checks;
 *   <li>what a dispatcher sent after the start, before it was notified of the start, counts from
 *       the start on, so the dispatcher does not send its share in addition.
 * </ul>
 *
 * <p>So they send at most B, which is less than two thirds of N. Whatever else arrives from
 * dispatchers that are not notified yet, in a collapse more than a third of the requests come from
 * them, and the collapse is not attributed to the notified dispatchers.
 *
 * <p><b>What remains random.</b> B and G come from each dispatcher's own estimates. All dispatchers
 * are admitted at the same end of the group, and the first turn is drawn from the start. Over that
 * draw each dispatcher therefore has its B/(G+1) in G+1 windows out of D, which is a mean of B/D
 * whatever its G, and the mean of the sum is the mean of their B. Groups of one turn are nested, so
 * if their G differ by at most a factor r, no draw gives more than B (1 + ln r). Cost estimates
 * deviate from the true work in both directions, and network jitter delays arrivals against
 * departures. The 2 sqrt(N) + 2 cover these deviations, and no part of them is allocated.
 *
 * <p>Times and windows are in seconds, and work is in the unit of the caller's cost estimates. Not
 * thread-safe.
 */
public final class SlowStartBudget {
    /**
     * The fraction of the permitted work that is allocated. It is below two thirds, above which a
     * collapse is attributed to the dispatchers, and leaves a margin for rough cost estimates and
     * an estimated worker capacity.
     */
    private static final double BUDGET_FRACTION = 0.65;

    /**
     * The minimum size of a share in requests of mean work. Most requests would not fit into a
     * smaller share.
     */
    private static final double MIN_REQUESTS_PER_SHARE = 1;

    /**
     * The shares that may be used by this dispatcher, which are its own and those held by lease.
     */
    public interface Shares {
        /**
         * Returns the fraction of the share of the given dispatcher that may be used by this one,
         * from 0 to 1.
         */
        double ofDispatcher(int dispatcher);

        /**
         * Returns the fraction of all shares together that may be used by this dispatcher, from 0
         * to 1.
         */
        double total();
    }

    /**
     * The limits that are the same for all workers in slow start.
     *
     * @param dispatchers the number of dispatchers
     * @param position this dispatcher's index among them; negative if unknown
     * @param multiple the multiple of its capacity within the window at which a worker collapses
     */
    public record Limits(int dispatchers, int position, double multiple, double windowSeconds) {}

    /** The work of one attempt and the time at which it was sent. */
    private record SentWork(double sentAt, double work) {}

    private final Limits limits;
    private final Deque<SentWork> sentWork = new ArrayDeque<>();

    /**
     * The time at which the worker started; NaN until it is known. While it is NaN, all recent work
     * counts.
     */
    private double startedAt = Double.NaN;

    private long firstTurn;

    /** Creates the budget of one worker whose start is not known yet. */
    public SlowStartBudget(Limits limits) {
        this.limits = limits;
    }

    /**
     * Sets when the worker started.
     *
     * @param time the start time in the endpoint list
     * @param draw a number from 0 to 1 that chooses the dispatcher of the first turn; all
     *     dispatchers must draw the same number
     */
    public void onWorkerStarted(double time, double draw) {
        startedAt = time;
        firstTurn = (long) (draw * limits.dispatchers);
    }

    /**
     * Counts an attempt sent to the worker. An attempt is counted even before the start of the
     * worker is known, because it may fall into the first window after the start.
     */
    public void recordSent(double now, double work) {
        while (!sentWork.isEmpty() && sentWork.peekFirst().sentAt <= now - limits.windowSeconds) {
            sentWork.pollFirst();
        }
        sentWork.addLast(new SentWork(now, work));
    }

    /**
     * Returns whether the given additional work stays within this dispatcher's share.
     *
     * @param capacity the work that the worker completes in a window at the ramp fraction of the
     *     beginning of the window; during a handover, the portion of this process
     * @param meanWork the mean work of a request
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
        // The budget is divided evenly unless the shares would be too small for any request. The
        // worker would then stay unused, so the dispatchers take turns instead.
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
     * Returns the number of dispatchers that are admitted per turn, which is at most the number
     * whose shares fit a request.
     */
    private int groupSize(double budget, double meanWork) {
        double shareCount =
                Math.min(limits.dispatchers, budget / (MIN_REQUESTS_PER_SHARE * meanWork));
        return (int) Math.max(1, shareCount - 1);
    }
}
