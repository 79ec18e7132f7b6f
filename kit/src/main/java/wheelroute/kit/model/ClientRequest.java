package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/**
 * A request that a client wants answered, with one attempt or, after retries, several.
 *
 * @param number from 0, in the order of the first attempts
 * @param sendAt when the first attempt is sent, in seconds from the start of the run
 * @param workSeconds in seconds on a worker of speed 1
 * @param costEstimate the client's estimate of the work; NaN for none
 * @param cancelAfterSeconds the client cancels after so long without a response; infinite if it
 *     waits
 */
public record ClientRequest(
        int number,
        double sendAt,
        Scenario.RequestClass requestClass,
        Scenario.Tenant tenant,
        double workSeconds,
        double costEstimate,
        double cancelAfterSeconds) {
    /** A response after this many seconds is late. */
    public double latencyObjectiveSeconds() {
        return requestClass.latencyObjectiveSeconds()
                + requestClass.objectivePerWork() * workSeconds;
    }
}
