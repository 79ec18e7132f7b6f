/** The endpoint list: its changes, and how long an unconfirmed list may be used. */
package wheelroute.decision.endpoints;
