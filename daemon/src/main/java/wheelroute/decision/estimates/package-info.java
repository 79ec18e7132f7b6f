/**
 * Estimates of speeds, waits, costs and traffic, computed from measurements. Contains no decision
 * logic.
 */
package wheelroute.decision.estimates;
