/** The virtual clock: a world and its dispatchers played as fast as the machine can. */
package wheelroute.kit.simulation;
