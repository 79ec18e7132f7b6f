/**
 * Faults of links between processes: which are in force and what they let through, the relays that
 * put them into effect in runs of real processes, and the minimizer of failing schedules.
 */
package wheelroute.kit.faults;
