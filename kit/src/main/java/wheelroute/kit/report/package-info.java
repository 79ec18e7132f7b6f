/** The result of a run, and its forms: tables for people, JSON for programs, a page. */
package wheelroute.kit.report;
