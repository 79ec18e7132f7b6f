package wheelroute.decision.routing;

import java.util.List;
import java.util.function.Predicate;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.state.RandomDraws;

/**
 * The cost of each candidate for one request; infinite for a candidate that may not be chosen.
 *
 * @param least the lowest of the costs; infinite if no candidate may be chosen
 */
record CandidateCosts(List<Candidate> candidates, double[] costs, double least) {
    /** Computes the costs of all candidates; infinite for those that do not pass the test. */
    static CandidateCosts of(
            List<Candidate> candidates, Predicate<Candidate> mayBeChosen, AdmittanceCost cost) {
        double[] costs = new double[candidates.size()];
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < costs.length; i++) {
            Candidate candidate = candidates.get(i);
            boolean allowed = mayBeChosen.test(candidate);
            costs[i] = allowed ? cost.costAt(candidate) : Double.POSITIVE_INFINITY;
            least = Math.min(least, costs[i]);
        }
        return new CandidateCosts(candidates, costs, least);
    }

    boolean areAllInfinite() {
        return least == Double.POSITIVE_INFINITY;
    }

    /**
     * Draws one of the candidates that cost at most the maximum, each with the same probability.
     * Returns null if there is none.
     */
    Candidate draw(double maxCost, RandomDraws random) {
        int tiedCount = 0;
        for (double cost : costs) {
            tiedCount += cost <= maxCost ? 1 : 0;
        }
        int toSkip = tiedCount > 1 ? (int) (random.next() * tiedCount) : 0;
        for (int i = 0; i < costs.length; i++) {
            if (costs[i] <= maxCost) {
                if (toSkip == 0) {
                    return candidates.get(i);
                }
                toSkip--;
            }
        }
        return null;
    }
}
