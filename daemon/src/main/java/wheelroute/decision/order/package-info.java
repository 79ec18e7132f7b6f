/** The ordering of requests with the same key. */
package wheelroute.decision.order;
