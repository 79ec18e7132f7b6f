/** How much work a worker may get while it warms up. */
package wheelroute.decision.slowstart;
