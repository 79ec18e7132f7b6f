/**
 * Estimates of speeds, waits, costs and traffic. Measured figures only: nothing is decided here.
 */
package wheelroute.decision.estimates;
