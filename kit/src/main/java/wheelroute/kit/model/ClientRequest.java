package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/**
 * A request of a client, which is sent in one attempt or, with retries, in several.
 *
 * @param number counted from 0, in the order of the first attempts
 * @param sendAt when the first attempt is sent, in seconds from the start of the run
 * @param workSeconds the work of the request, in seconds on a worker of speed 1
 * @param costEstimate the client's estimate of the work, in seconds; NaN for none
 * @param cancelAfterSeconds the time after which the client cancels if it has no response; infinity
 *     for never
 */
public record ClientRequest(
        int number,
        double sendAt,
        Scenario.RequestClass requestClass,
        Scenario.Tenant tenant,
        double workSeconds,
        double costEstimate,
        double cancelAfterSeconds) {
    /** Returns the latency in seconds above which a response is late. */
    public double latencyObjectiveSeconds() {
        return requestClass.latencyObjectiveSeconds()
                + requestClass.objectivePerWork() * workSeconds;
    }
}
