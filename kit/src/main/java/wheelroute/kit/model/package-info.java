/**
 * What a dispatcher serves, as a model: workers, list, clients, faults. No I/O, no clock, no
 * thread.
 */
package wheelroute.kit.model;
