/** The results of a run, and their forms as tables, JSON and a page. */
package wheelroute.kit.report;
