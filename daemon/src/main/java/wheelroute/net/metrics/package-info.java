/** The counters and gauges of one process, and their text form for Prometheus. */
package wheelroute.net.metrics;
