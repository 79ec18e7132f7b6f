/** Runs side by side: scenarios by seeds by variants, and their comparison. */
package wheelroute.kit.experiment;
