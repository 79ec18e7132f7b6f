/** Admission limits for scarce resources: connections and slow-start work. No I/O, no clock. */
package wheelroute.limits;
