/** The endpoint list with its changes, and the limit on using an unconfirmed list. */
package wheelroute.decision.endpoints;
