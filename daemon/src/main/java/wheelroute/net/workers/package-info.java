/** The workers' side: connection pools and the attempts that are sent on them. */
package wheelroute.net.workers;
