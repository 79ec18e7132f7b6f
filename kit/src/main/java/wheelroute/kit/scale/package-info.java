/**
 * What a deployment size costs: measured with embedded dispatchers beside real processes, and
 * extrapolated to sizes that were not measured.
 */
package wheelroute.kit.scale;
