/** The counters and gauges of one process, and their text form. */
package wheelroute.net.metrics;
