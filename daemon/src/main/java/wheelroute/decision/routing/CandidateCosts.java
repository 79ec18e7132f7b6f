package wheelroute.decision.routing;

import java.util.List;
import java.util.function.Predicate;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.state.RandomDraws;

/**
 * The cost of each candidate for one request, infinite for those that may not be chosen.
 *
 * @param least the least of the costs; infinite without any that may be chosen
 */
record CandidateCosts(List<Candidate> candidates, double[] costs, double least) {
    /** Returns the costs at all candidates, infinite at those that do not pass a test. */
    static CandidateCosts of(
            List<Candidate> candidates, Predicate<Candidate> mayBeChosen, AdmittanceCost cost) {
        double[] costs = new double[candidates.size()];
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < costs.length; i++) {
            Candidate candidate = candidates.get(i);
            boolean counts = mayBeChosen.test(candidate);
            costs[i] = counts ? cost.at(candidate) : Double.POSITIVE_INFINITY;
            least = Math.min(least, costs[i]);
        }
        return new CandidateCosts(candidates, costs, least);
    }

    boolean areAllInfinite() {
        return least == Double.POSITIVE_INFINITY;
    }

    /** Returns one of the candidates that cost at most this, each with the same probability. */
    Candidate draw(double maxCost, RandomDraws random) {
        int tied = 0;
        for (double cost : costs) {
            tied += cost <= maxCost ? 1 : 0;
        }
        int toSkip = tied > 1 ? (int) (random.next() * tied) : 0;
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
