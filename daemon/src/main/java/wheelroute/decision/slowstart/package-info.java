/** The limit on the work that is sent to a worker while it warms up. */
package wheelroute.decision.slowstart;
