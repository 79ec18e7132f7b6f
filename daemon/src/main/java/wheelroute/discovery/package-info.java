/** When discovery is asked again. Decides; no I/O, no clock. */
package wheelroute.discovery;
