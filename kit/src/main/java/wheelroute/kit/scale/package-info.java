/**
 * Capacity planning. Scale runs measure the costs of a dispatcher and of discovery by each
 * dimension of a deployment, with separate processes and with in-process dispatchers, which are
 * complete services that share the process of the kit. The capacity model extrapolates the fitted
 * lines to the size of a deployment.
 */
package wheelroute.kit.scale;
