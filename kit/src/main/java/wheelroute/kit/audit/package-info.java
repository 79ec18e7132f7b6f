/** Checks the rules against what clients, workers and discovery observe of dispatchers. */
package wheelroute.kit.audit;
