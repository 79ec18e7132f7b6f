/**
 * Who decides in a run on the virtual clock: the daemon's module, or something to compare it with.
 */
package wheelroute.kit.strategy;
