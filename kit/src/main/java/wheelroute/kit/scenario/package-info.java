/** Scenarios of runs, their file format, dispatcher settings, and generation of random faults. */
package wheelroute.kit.scenario;
