/** Which requests are rejected at once: maximum waits and fairness among tenants. */
package wheelroute.decision.admission;
