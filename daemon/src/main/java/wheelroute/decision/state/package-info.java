/** The state of one dispatcher: workers, requests and attempts. Nothing is decided here. */
package wheelroute.decision.state;
