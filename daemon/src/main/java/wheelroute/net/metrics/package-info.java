/** The counters and gauges of one process, and their Prometheus text format. */
package wheelroute.net.metrics;
