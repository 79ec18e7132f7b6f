/** Several runs: scenarios, seeds and variants, run in parallel and compared. */
package wheelroute.kit.experiment;
