/**
 * The decisions of a dispatcher ({@link wheelroute.decision.Policy}), their state and their public
 * types.
 */
package wheelroute.decision;
