/**
 * Faults of links between processes: the set of active faults and the resulting link states, relays
 * that apply these states to sockets, and a minimizer of failing fault schedules.
 */
package wheelroute.kit.faults;
