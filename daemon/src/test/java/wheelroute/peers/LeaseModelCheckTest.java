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
 * Model check of {@link Lease} and {@link LeaseVoter} with three dispatchers, two of which request
 * the same share. Every order of requests, deliveries, releases, pauses, restarts and time steps is
 * explored to a given depth, and random walks go beyond it. Datagrams are delayed, duplicated and
 * lost.
 */
public class LeaseModelCheckTest {
    private static final double SLOW = 1 - LeaseModel.CLOCK_DRIFT_FRACTION;
    private static final double FAST = 1 + LeaseModel.CLOCK_DRIFT_FRACTION;

    /** Depth of the exhaustive search, which has some 100,000 states for each set of clocks. */
    private static final int DEPTH = 6;

    private static final int WALK_LENGTH = 30;
    private static final int WALKS = 250_000;

    /** Number of states that the last complete exhaustive search visited. */
    private int visitedStates;

    /**
     * Searches all states up to a depth. Returns the steps to a state with two holders, or null.
     */
    private List<String> findViolation(double[] rates, PeerId[] names) {
        Set<String> visitedKeys = new HashSet<>();
        ArrayDeque<LeaseModel> frontier = new ArrayDeque<>();
        frontier.add(new LeaseModel(LeaseModel.Safeguard.NONE, rates, names));
        while (!frontier.isEmpty()) {
            LeaseModel state = frontier.poll();
            if (state.uses(0) && state.uses(1)) {
                return state.history;
            }
            if (state.history.size() < DEPTH) {
                for (LeaseModel.Step step : state.steps()) {
                    LeaseModel next = new LeaseModel(state);
                    step.action().accept(next);
                    next.history.add(step.name());
                    if (visitedKeys.add(next.key())) {
                        frontier.add(next);
                    }
                }
            }
        }
        visitedStates = visitedKeys.size();
        return null;
    }

    /** Searches deeper by random walks. Returns the steps to a state with two holders, or null. */
    private static List<String> findViolationByRandomWalks(
            LeaseModel.Safeguard disabled, double[] rates, PeerId[] names, int walks) {
        for (int seed = 0; seed < walks; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            LeaseModel state = new LeaseModel(disabled, rates, names);
            while (state.history.size() < WALK_LENGTH) {
                List<LeaseModel.Step> steps = state.steps();
                // Deliveries are preferred, because a walk would rarely acquire a lease otherwise.
                List<LeaseModel.Step> deliveries =
                        steps.stream()
                                .filter(candidate -> candidate.name().startsWith("receive"))
                                .toList();
                boolean useAllSteps = deliveries.isEmpty() || random.nextInt(3) == 0;
                List<LeaseModel.Step> choice = useAllSteps ? steps : deliveries;
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
    public void shareHasAtMostOneHolder(double[] rates, PeerId[] names) {
        List<String> history = findViolation(rates, names);
        assertNull(history, String.valueOf(history));
        assertTrue(visitedStates > 5_000, visitedStates + " states were visited");
        List<String> deepHistory =
                findViolationByRandomWalks(LeaseModel.Safeguard.NONE, rates, names, WALKS / 10);
        assertNull(deepHistory, String.valueOf(deepHistory));
    }

    @DataProvider
    public Object[][] safeguards() {
        return Arrays.stream(LeaseModel.Safeguard.values())
                .filter(safeguard -> safeguard != LeaseModel.Safeguard.NONE)
                .map(safeguard -> new Object[] {safeguard})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "safeguards")
    public void shareCanHaveTwoHoldersIfASafeguardIsDisabled(LeaseModel.Safeguard safeguard) {
        assertNotNull(
                findViolationByRandomWalks(
                        safeguard,
                        new double[] {SLOW, FAST, FAST},
                        safeguard == LeaseModel.Safeguard.INCARNATION
                                ? LeaseModel.TWO_INCARNATIONS
                                : LeaseModel.NAMES,
                        WALKS),
                "no state with two holders was found");
    }
}
