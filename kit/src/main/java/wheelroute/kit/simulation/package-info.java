/** Runs on the virtual clock, with simulated dispatchers and links. */
package wheelroute.kit.simulation;
