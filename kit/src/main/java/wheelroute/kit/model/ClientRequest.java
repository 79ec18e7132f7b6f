package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/**
 * A request of a client, which is sent in one attempt or, after retries, several.
 *
 * @param number from 0, in the order of the first attempts
 * @param sendAt when the first attempt is sent, in seconds from the start of the run
 * @param workSeconds in seconds on a worker of speed 1
 * @param costEstimate the client's estimate of the work; NaN for none
 * @param cancelAfterSeconds when the client cancels if it has no response; infinity for never
 */
public record ClientRequest(
        int number,
        double sendAt,
        Scenario.RequestClass requestClass,
        Scenario.Tenant tenant,
        double workSeconds,
        double costEstimate,
        double cancelAfterSeconds) {
    /** Returns the latency above which a response is late. */
    public double latencyObjectiveSeconds() {
        return requestClass.latencyObjectiveSeconds()
                + requestClass.objectivePerWork() * workSeconds;
    }
}
