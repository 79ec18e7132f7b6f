/** The order of requests with one key. */
package wheelroute.decision.order;
