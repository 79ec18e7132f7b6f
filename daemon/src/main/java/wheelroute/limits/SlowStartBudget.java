package wheelroute.limits;

import java.util.ArrayDeque;

/**
 * What one dispatcher may send one worker that warms up, so that all dispatchers together do not
 * push it over. It falls when more than N + 2 root N + 2 requests of mean work come within a
 * window, N being what the settings allow it then; the rule is broken if over two thirds of them
 * came from dispatchers that had been told of its start.
 *
 * <p><b>The bound.</b> Let B be {@link #BUDGET_FRACTION} of what the settings allow in a window, by
 * the worker's capacity at that window's beginning, where it is least. Those told of the start
 * send, in any window:
 *
 * <ul>
 *   <li>divided evenly, D dispatchers B/D each: B. No share rounds up: work is counted and not
 *       requests, and a request that does not fit is not sent;
 *   <li>by turns, G dispatchers at a time, the numbers c-G+1 to c, c one further with each window:
 *       a window touches two turns, in which G+1 dispatchers are let in. Each counts what it sent
 *       in the window that ends now, in whichever turn, and stays within B/(G+1): B again;
 *   <li>two processes of one dispatcher, while one takes the other's place, half of its part each;
 *   <li>for a dispatcher that is not there, whoever holds its part by lease: that part, not more.
 *       In the window in which a lease changes hands both may have used it; it is half of one part;
 *   <li>retries, copies, and what the worker turns away: each launch is counted when it is decided
 *       on, whatever becomes of it. Nothing is probed;
 *   <li>what a dispatcher sent after the start, before it was told of it, is counted from the start
 *       on: it does not send its part on top.
 * </ul>
 *
 * So they send B at most, under two thirds of N. Whatever comes from those not told of the start
 * yet, a fall has over a third from them then, and is not ours.
 *
 * <p><b>What is left to chance.</b> B and G come from each dispatcher's own estimates. All are let
 * in at the same end of the group and who is first is drawn from the start, so over that draw each
 * has its B/(G+1) in G+1 windows of D, a mean of B/D whatever its G, and the sum's mean is the mean
 * of their B. Groups of one turn lie inside each other: if their G differ by a factor r at most, no
 * draw gives more than B (1 + ln r). Hints miss the true work to both sides, and what arrives is
 * later than what was sent by the network's jitter. The 2 root N + 2 are for these, and no part of
 * them is given out.
 */
public final class SlowStartBudget {
    /**
     * Under two thirds, at which a fall counts as ours; hints are rough and the worker's size is a
     * guess.
     */
    private static final double BUDGET_FRACTION = 0.65;

    /**
     * A part is to hold so many requests of mean work: in a smaller one most of the work finds no
     * place.
     */
    private static final double MIN_REQUESTS_PER_SHARE = 1;

    /** The parts of others are used where a dispatcher is not there and its part is held here. */
    public interface Shares {
        /** How much of that dispatcher's part may be used here, from 0 to 1. */
        double ofDispatcher(int dispatcher);

        /** How much of all parts together. */
        double total();
    }

    /**
     * What the settings say of all cold workers.
     *
     * @param dispatchers all there are
     * @param position this one's place among them; under 0 where that is not told
     * @param multiple so many times its capacity within the window push a worker over
     */
    public record Limits(int dispatchers, int position, double multiple, double window) {}

    private final Limits limits;
    private final ArrayDeque<double[]> sentWork = new ArrayDeque<>();
    private double startedAt = Double.NaN;
    private long firstTurn;

    public SlowStartBudget(Limits limits) {
        this.limits = limits;
    }

    /**
     * When the worker started, by the list, and whose turn is first: all dispatchers must draw the
     * same.
     */
    public void onWorkerStarted(double time, double draw) {
        startedAt = time;
        firstTurn = (long) (draw * limits.dispatchers);
    }

    /**
     * A launch goes to the worker: also before its start is told, as that may be the start's
     * window.
     */
    public void recordSent(double now, double work) {
        while (!sentWork.isEmpty() && sentWork.peekFirst()[0] <= now - limits.window) {
            sentWork.pollFirst();
        }
        sentWork.addLast(new double[] {now, work});
    }

    /**
     * Whether so much work more keeps to our part.
     *
     * @param capacity work in a window at the warmth of its beginning, for this process
     * @param meanWork of a request
     */
    public boolean allows(
            double now, double work, double capacity, double meanWork, Shares shares) {
        double sum = work;
        for (double[] entry : sentWork) {
            sum += entry[0] > now - limits.window && !(entry[0] < startedAt) ? entry[1] : 0;
        }
        double budget = BUDGET_FRACTION * limits.multiple * capacity;
        return sum <= budget * share(now, budget, meanWork, shares);
    }

    private double share(double now, double budget, double meanWork, Shares shares) {
        int group = groupSize(budget, meanWork);
        // Guards against shares that no job fits into, by which many dispatchers shut a fleet out.
        if (limits.position < 0
                || limits.dispatchers <= limits.multiple
                || group + 1 >= limits.dispatchers) {
            return shares.total();
        }
        long turn = (long) (Math.max(0, now - startedAt) / limits.window);
        double sum = 0;
        for (int i = 0; i < group; i++) {
            sum +=
                    shares.ofDispatcher(
                            (int) Math.floorMod(firstTurn + turn - i, (long) limits.dispatchers));
        }
        return sum / (group + 1);
    }

    /**
     * So many have their turn together: as many as the budget leaves a part that requests fit into.
     */
    private int groupSize(double budget, double meanWork) {
        return (int)
                Math.max(
                        1,
                        Math.min(limits.dispatchers, budget / (MIN_REQUESTS_PER_SHARE * meanWork))
                                - 1);
    }
}
