/** Conversion factors between units. */
package wheelroute.units;
