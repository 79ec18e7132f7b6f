/**
 * The selection of a worker of least admittance cost for each request, and the start of the
 * attempt.
 */
package wheelroute.decision.routing;
