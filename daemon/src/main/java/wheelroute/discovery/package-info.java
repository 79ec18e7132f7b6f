/** When the endpoint list is polled again after a failed call. No I/O, no clock. */
package wheelroute.discovery;
