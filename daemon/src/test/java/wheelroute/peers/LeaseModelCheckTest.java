package wheelroute.peers;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Model check of {@link Lease} and {@link LeaseVoter}, with three dispatchers and one share that
 * two of them want: every order of requests, deliveries, releases, pauses, restarts and passing
 * time to a stated depth, and random walks beyond it. Datagrams are delayed, duplicated and lost.
 * At no moment do two hold the share; with any one safeguard taken out, they do.
 */
public class LeaseModelCheckTest {
    private static final double SLOW = 1 - LeaseModel.DRIFT;
    private static final double FAST = 1 + LeaseModel.DRIFT;

    /** Depth of the exhaustive search: some hundred thousand states for each set of clocks. */
    private static final int DEPTH = 6;

    private static final int WALK_LENGTH = 30;
    private static final int WALKS = 250_000;

    /** Number of states that the last exhaustive search has seen. */
    private int states;

    /** Searches all states up to a depth; the steps to one with two holders, or null for none. */
    private List<String> findViolation(double[] rates, PeerId[] names) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<LeaseModel> open = new ArrayDeque<>();
        open.add(new LeaseModel(LeaseModel.Safeguard.NONE, rates, names));
        while (!open.isEmpty()) {
            LeaseModel state = open.poll();
            if (state.uses(0) && state.uses(1)) {
                return state.history;
            }
            if (state.history.size() < DEPTH) {
                for (LeaseModel.Step step : state.steps()) {
                    LeaseModel next = new LeaseModel(state);
                    step.action().accept(next);
                    next.history.add(step.name());
                    if (seen.add(next.key())) {
                        open.add(next);
                    }
                }
            }
        }
        states = seen.size();
        return null;
    }

    /** Walks at random, deeper than an exhaustive search; the steps to two holders, or null. */
    private static List<String> findViolationByRandomWalks(
            LeaseModel.Safeguard without, double[] rates, PeerId[] names, int walks) {
        for (int seed = 0; seed < walks; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            LeaseModel state = new LeaseModel(without, rates, names);
            while (state.history.size() < WALK_LENGTH) {
                List<LeaseModel.Step> steps = state.steps();
                // Mostly deliveries: else a walk hardly ever gets to a lease that is held.
                List<LeaseModel.Step> deliveries =
                        steps.stream().filter(one -> one.name().startsWith("receive")).toList();
                boolean any = deliveries.isEmpty() || random.nextInt(3) == 0;
                List<LeaseModel.Step> choice = any ? steps : deliveries;
                LeaseModel.Step step = choice.get(random.nextInt(choice.size()));
                step.action().accept(state);
                state.history.add(step.name());
                if (state.uses(0) && state.uses(1)) {
                    return state.history;
                }
            }
        }
        return null;
    }

    @DataProvider
    public Object[][] clocks() {
        return new Object[][] {
            {new double[] {1, 1, 1}, LeaseModel.NAMES},
            {new double[] {SLOW, FAST, FAST}, LeaseModel.NAMES},
            {new double[] {FAST, SLOW, SLOW}, LeaseModel.NAMES},
            {new double[] {SLOW, FAST, 1}, LeaseModel.NAMES},
            {new double[] {SLOW, SLOW, FAST}, LeaseModel.TWO_INCARNATIONS},
            {new double[] {FAST, SLOW, FAST}, LeaseModel.TWO_INCARNATIONS},
        };
    }

    @Test(dataProvider = "clocks")
    public void shareHasOneHolderAtATime(double[] rates, PeerId[] names) {
        List<String> history = findViolation(rates, names);
        assertNull(history, String.valueOf(history));
        assertTrue(states > 5_000, states + " states were seen");
        List<String> deep =
                findViolationByRandomWalks(LeaseModel.Safeguard.NONE, rates, names, WALKS / 10);
        assertNull(deep, String.valueOf(deep));
    }

    @DataProvider
    public Object[][] safeguards() {
        return Arrays.stream(LeaseModel.Safeguard.values())
                .filter(safeguard -> safeguard != LeaseModel.Safeguard.NONE)
                .map(safeguard -> new Object[] {safeguard})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "safeguards")
    public void withoutOneSafeguardTwoHoldTheShare(LeaseModel.Safeguard safeguard) {
        assertNotNull(
                findViolationByRandomWalks(
                        safeguard,
                        new double[] {SLOW, FAST, FAST},
                        safeguard == LeaseModel.Safeguard.INCARNATION
                                ? LeaseModel.TWO_INCARNATIONS
                                : LeaseModel.NAMES,
                        WALKS),
                "not found");
    }
}
