/**
 * Capacity planning: scale runs measure what a dispatcher and discovery cost by each dimension of a
 * deployment, with processes and hollow dispatchers (complete services that share one process of
 * the kit); the capacity model extrapolates the fitted lines to a deployment's size.
 */
package wheelroute.kit.scale;
