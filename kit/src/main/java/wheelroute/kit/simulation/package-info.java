/** Runs in simulated time: the model and its dispatchers, as fast as the machine allows. */
package wheelroute.kit.simulation;
