/** How simulated dispatchers decide: the daemon's policy, or baselines to compare it with. */
package wheelroute.kit.strategy;
