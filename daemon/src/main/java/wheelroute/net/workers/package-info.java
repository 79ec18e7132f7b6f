/** Connections to workers, their pools, and the attempts that are sent on them. */
package wheelroute.net.workers;
