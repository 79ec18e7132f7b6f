/** The state of one dispatcher: workers, requests and attempts. Contains no decision logic. */
package wheelroute.decision.state;
