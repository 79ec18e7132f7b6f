/** Checks the rules from outside, on what clients, workers and discovery observe. */
package wheelroute.kit.audit;
