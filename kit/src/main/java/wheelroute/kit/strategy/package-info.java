/** Strategies of simulated dispatchers: the dispatcher's own policy, and baselines. */
package wheelroute.kit.strategy;
