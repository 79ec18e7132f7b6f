/** Checks the operators' rules from outside: on what clients, workers and discovery observe. */
package wheelroute.kit.audit;
