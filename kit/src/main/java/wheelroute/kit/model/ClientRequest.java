package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/**
 * What a client wants done, whatever it takes: one ask is one submission or, with retries, several.
 *
 * @param number from 0, in the order of the first sends
 * @param at when it is first sent, in seconds from the start of the run
 * @param work in seconds on a worker of speed 1
 * @param hint the client's guess at it; NaN for none
 * @param leavesAfter the client hangs up after so long without an answer; infinite if it waits
 */
public record ClientRequest(
        int number,
        double at,
        Scenario.RequestClass offering,
        Scenario.Tenant tenant,
        double work,
        double hint,
        double leavesAfter) {
    /** An answer after this long is late. */
    public double quoted() {
        return offering.quoted() + offering.stretch() * work;
    }
}
