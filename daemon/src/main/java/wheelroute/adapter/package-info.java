/**
 * The simulator's wire protocol on byte streams: reads events, maps them to our types, and writes
 * the decisions. The protocol's own terms are used in this package only.
 */
package wheelroute.adapter;
