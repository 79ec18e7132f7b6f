/** The results of runs, and writers for them as plain text, JSON and HTML. */
package wheelroute.kit.report;
