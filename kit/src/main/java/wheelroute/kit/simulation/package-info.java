/** Runs of scenarios in simulated time, with simulated dispatchers and links. */
package wheelroute.kit.simulation;
