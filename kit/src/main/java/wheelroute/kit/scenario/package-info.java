/** Scenarios: what a run consists of and what must hold, their files, and random faults. */
package wheelroute.kit.scenario;
