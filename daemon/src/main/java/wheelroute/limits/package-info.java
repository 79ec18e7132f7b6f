/** Who has a place, and what part, where there is less than all want. No I/O, no clock. */
package wheelroute.limits;
