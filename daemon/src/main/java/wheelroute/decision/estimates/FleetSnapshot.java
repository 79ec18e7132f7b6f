package wheelroute.decision.estimates;

import java.util.List;

/**
 * All ready workers as estimated for one request at one time.
 *
 * @param candidates the ready workers, in the order of their ids
 * @param capacity work that all of them do in a second
 * @param attemptsPerSlot attempts of this dispatcher in flight, per slot
 */
public record FleetSnapshot(List<Candidate> candidates, double capacity, double attemptsPerSlot) {}
