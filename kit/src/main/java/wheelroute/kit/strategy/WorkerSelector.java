package wheelroute.kit.strategy;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;

/** Chooses the worker of an attempt. */
interface WorkerSelector {
    /**
     * Chooses one of the candidates for an attempt.
     *
     * @param candidates the allowed workers, at least one
     * @param inFlight the dispatcher's attempts in flight at each worker
     * @return the chosen worker; null if no candidate is worth an attempt
     */
    Ids.Worker choose(
            List<Endpoint> candidates,
            Request request,
            Map<Ids.Worker, Integer> inFlight,
            SplittableRandom random);
}
