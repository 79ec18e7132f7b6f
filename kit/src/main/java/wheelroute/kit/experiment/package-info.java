/** Runs scenarios with several seeds and variants in parallel, and compares their results. */
package wheelroute.kit.experiment;
