/**
 * Admission control by maximum waits and by fairness among tenants, which rejects requests at once.
 */
package wheelroute.decision.admission;
