package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/**
 * What a client wants done, whatever it takes: one ask is one submission or, with retries, several.
 *
 * @param number from 0, in the order of the first sends
 * @param sendAt when it is first sent, in seconds from the start of the run
 * @param work in seconds on a worker of speed 1
 * @param costEstimate the client's guess at it; NaN for none
 * @param cancelsAfter the client hangs up after so long without an answer; infinite if it waits
 */
public record ClientRequest(
        int number,
        double sendAt,
        Scenario.RequestClass requestClass,
        Scenario.Tenant tenant,
        double work,
        double costEstimate,
        double cancelsAfter) {
    /** An answer after this long is late. */
    public double latencyObjective() {
        return requestClass.latencyObjective() + requestClass.objectivePerWork() * work;
    }
}
