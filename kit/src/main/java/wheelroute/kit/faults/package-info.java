/**
 * Faults of links between processes: which are active and what the links carry, the relays that
 * apply them to sockets, and the minimizer of failing fault schedules.
 */
package wheelroute.kit.faults;
