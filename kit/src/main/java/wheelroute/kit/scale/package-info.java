/**
 * What a size costs: measured by hollow processes beside real ones, and reckoned up to sizes not
 * seen yet.
 */
package wheelroute.kit.scale;
