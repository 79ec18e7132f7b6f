/** Scenarios: the files that say what a rehearsal runs, read and checked as a whole. */
package wheelroute.kit.scenario;
