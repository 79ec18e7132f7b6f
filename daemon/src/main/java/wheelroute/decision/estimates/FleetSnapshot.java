package wheelroute.decision.estimates;

import java.util.List;

/**
 * The estimates of all ready workers for one request at one time.
 *
 * @param candidates the ready workers, in ascending order of their ids
 * @param capacity the work that all ready workers together do in a second
 * @param attemptsPerSlot this dispatcher's attempts in flight, divided by the slots of the ready
 *     workers
 */
public record FleetSnapshot(List<Candidate> candidates, double capacity, double attemptsPerSlot) {}
