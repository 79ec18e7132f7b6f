/** Who has a place when there are fewer places than those who want one. No I/O, no clock. */
package wheelroute.limits;
